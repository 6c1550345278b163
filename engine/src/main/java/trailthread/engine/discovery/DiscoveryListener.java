package trailthread.engine.discovery;

/** Hears what discovery says. */
public interface DiscoveryListener {
    /**
     * A whole list, or what changed.
     *
     * @param knownSince from when on it counts as known, by the loop's clock in nanoseconds: it may have come, or have
     *                   been due, before it was read
     */
    void told(DiscoveryUpdate update, long knownSince);

    /** A watch or a fetch failed; what was told before stands. */
    void failed();
}
