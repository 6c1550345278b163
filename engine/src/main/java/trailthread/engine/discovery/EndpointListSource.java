package trailthread.engine.discovery;

/**
 * Where a list of endpoints comes from. Tells its {@link DiscoveryListener} on the loop's thread.
 */
public interface EndpointListSource {
    /** Begins to tell. */
    void start();

    /** The list that was known before, at a start. */
    void known(DiscoveryUpdate update);

    /** Watches from now on, if it does not yet; or stops. */
    void watch(boolean on);

    /** Asks for the whole list once. */
    void fetch();

    /** Tells no more, and closes what it holds. */
    void close();
}
