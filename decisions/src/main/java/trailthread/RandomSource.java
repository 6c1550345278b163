package trailthread;

import java.util.SplittableRandom;

/** All random numbers of one balancer, from its seed, in the order in which they are drawn. */
final class RandomSource {
    /** Largest deviation of a jittered delay, as a share of it. */
    static final double JITTER = 0.2;

    private final SplittableRandom random;

    RandomSource(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Uniform in [0, 1). */
    double uniform() {
        return random.nextDouble();
    }

    /** Uniform in [0, bound). */
    int below(int bound) {
        return random.nextInt(bound);
    }

    /**
     * The delay, at random up to a share of {@link #JITTER} shorter or longer, in the same unit.
     * Without jitter, nodes that start together stay synchronised for ever (Floyd and Jacobson,
     * "The Synchronization of Periodic Routing Messages", 1994).
     */
    long jittered(double delay) {
        return (long) (delay * (1 + JITTER * (2 * uniform() - 1)));
    }
}
