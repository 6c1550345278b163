package trailthread.engine.degradation;

/**
 * How much memory was in use after the last collection, as far as samples tell: use falls at no
 * other time. The virtual machine's management beans know it exactly, but cost megabytes. Pure.
 */
final class MemoryInUse {
    private long last = Long.MAX_VALUE;
    private long afterCollection;

    /**
     * Takes a sample in, bytes in use; what was in use after the last fall, by the sample that
     * showed it.
     */
    long sampled(long used) {
        if (used < last) {
            afterCollection = used;
        }
        last = used;
        return afterCollection;
    }
}
