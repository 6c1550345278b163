package trailthread.lab.random;

import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Independent streams of random numbers, each identified by its name. What one part of a run draws
 * does not shift the numbers of another, so two policies meet the same clients, work and faults
 * (common random numbers: Law, "Simulation Modeling and Analysis", 11.2).
 */
public final class RandomStreams {
    private final long seed;

    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /**
     * Creates the stream of this name from its start. Another name would give other numbers, and so
     * other results for the same seed.
     */
    public UniformRandomProvider stream(String name) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seedOf(name));
    }

    /** Derives a seed from a name, for a component with a generator of its own. */
    public long seedOf(String name) {
        long hash = mix(seed ^ 0x9e3779b97f4a7c15L);
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = mix(hash * 31 + b);
        }
        return hash;
    }

    /** The finaliser of splitmix64 (Steele, Lea, Flood, OOPSLA 2014). */
    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /**
     * Draws from the exponential distribution with this mean. Uses StrictMath because the last bit
     * of other logarithms may differ between machines.
     */
    public static double exponential(UniformRandomProvider random, double mean) {
        return -mean * StrictMath.log(1 - random.nextDouble());
    }

    /** Draws uniformly from low to high. */
    public static double uniform(UniformRandomProvider random, double low, double high) {
        return low + (high - low) * random.nextDouble();
    }
}
