package trailthread.engine.discovery;

/** Receives what an {@link EndpointListSource} learns, on the event loop's thread. */
public interface DiscoveryListener {
    /**
     * A complete list, or a change to the list, was received.
     *
     * @param knownSince since when the update counts as known, by the loop's clock in nanoseconds;
     *     before now if it arrived, or was due, before it was read
     */
    void listUpdated(DiscoveryUpdate update, long knownSince);

    /** A watch or a fetch failed; the list received before stays valid. */
    void listRequestFailed();

    /**
     * Every change up to this time has been received.
     *
     * @param asOf by the loop's clock in nanoseconds
     */
    default void listConfirmed(long asOf) {
        // only listeners that hold the list as a lease need this
    }

    /**
     * A request to discovery was rejected, failed before its response, or got no connection. {@link
     * #listRequestFailed} follows, unless lists are pushed. A request that timed out is reported
     * only if lists are pushed: otherwise it does not show whether discovery is serving.
     *
     * @param waitedSince since when the request may have been queued at discovery, by the loop's
     *     clock in nanoseconds
     */
    default void pollFailed(long waitedSince) {
        // only listeners that hold the list as a lease need this
    }
}
