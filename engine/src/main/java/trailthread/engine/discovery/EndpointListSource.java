package trailthread.engine.discovery;

/**
 * A source of endpoint lists. It notifies its {@link DiscoveryListener} on the event loop's thread,
 * and its methods are called on that thread.
 */
public interface EndpointListSource {
    /** Starts to notify the listener. */
    void start();

    /**
     * Sets the complete list that the listener already has, as after a restart. The listener is not
     * notified of this list.
     */
    void setKnownList(DiscoveryUpdate update);

    /**
     * Starts or stops watching the list for changes.
     *
     * @param on whether a watch is to be open; no effect if that is so already
     */
    void watch(boolean on);

    /** Requests the complete list once. */
    void fetch();

    /** Stops notifying the listener, and releases all resources. */
    void close();
}
