package trailthread.engine.discovery;

/** Hears what discovery says. */
public interface DiscoveryListener {
    /**
     * A whole list, or what changed.
     *
     * @param knownSince from when on it counts as known, by the loop's clock in nanoseconds: it may
     *     have come, or have been due, before it was read
     */
    void told(DiscoveryUpdate update, long knownSince);

    /** A watch or a fetch failed; what was told before stands. */
    void failed();

    /**
     * All that had changed by this time has been told.
     *
     * @param asOf by the loop's clock in nanoseconds
     */
    default void confirmed(long asOf) {
        // of use only to those whose list is a lease
    }

    /**
     * A call was refused, broke before there was an answer, or had no connection; {@link #failed}
     * follows where it is to be repeated. One that this side gave up is told of only where lists
     * are pushed; else what discovery does is not known.
     *
     * @param waitedSince since when it may have waited at discovery, by the loop's clock in
     *     nanoseconds
     */
    default void callFailed(long waitedSince) {
        // of use only to those whose list is a lease
    }
}
