package trailthread.lab.server;

/**
 * The faults injected into a server, except slowdowns and delayed load reports, which {@link
 * ServerProcess} has methods for. Shares are of its requests, from 0 to 1; initially there are no
 * faults.
 */
public final class ServerFaults {
    /** Share of requests that fail immediately. */
    public double errorShare;

    /** Share of requests that are executed but get no response. */
    public double lostResponseShare;

    /** Share of requests that are executed before their connection is reset. */
    public double resetShare;

    /** Share of requests that are executed and get a response that is not valid HTTP. */
    public double garbageShare;

    /** Share of responses that a stray one follows on the same connection. */
    public double strayShare;

    /** The longest time from a response to the stray one, in ns. */
    public long maxStrayDelayNs;

    /** Share of new connections on which a response is sent before any request. */
    public double greetingShare;

    /** The time over which the bytes of a response are spread, in ns; 0 sends it at once. */
    public long trickleNs;

    /** Whether the server is cut off from the network: packets are dropped without an error. */
    public boolean isolated;

    /** Whether none of these faults is active. */
    public boolean noneActive() {
        return errorShare
                                + lostResponseShare
                                + resetShare
                                + garbageShare
                                + strayShare
                                + greetingShare
                        == 0
                && trickleNs == 0
                && !isolated;
    }
}
