package trailthread;

/** Hashes that are the same at every node: the finaliser of splitmix64 (Steele et al., 2014). */
final class HashMixer {
    private HashMixer() {}

    /** Spreads the bits of a number evenly. */
    static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    static long hash(String text) {
        long hash = 0;
        for (int i = 0; i < text.length(); i++) {
            hash = mix(hash + text.charAt(i) + 1);
        }
        return hash;
    }

    /** A hash of the value, uniform in (0, 1): the upper 53 bits of the mixed value. */
    static double uniform(long value) {
        return ((mix(value) >>> 11) + 0.5) * 0x1p-53;
    }
}
