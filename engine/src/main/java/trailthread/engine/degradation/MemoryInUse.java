package trailthread.engine.degradation;

/**
 * Estimates from samples how much memory was in use after the last garbage collection: memory in
 * use falls at no other time. The JVM's management beans have the exact value, but take megabytes.
 */
final class MemoryInUse {
    private long lastSample = Long.MAX_VALUE;
    private long afterCollection;

    /**
     * Adds a sample.
     *
     * @param used bytes in use now
     * @return bytes in use after the last collection, by the first sample after it
     */
    long addSample(long used) {
        if (used < lastSample) {
            afterCollection = used;
        }
        lastSample = used;
        return afterCollection;
    }
}
