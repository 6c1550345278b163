package trailthread.engine.endpoint;

/**
 * How long a connection is idle after a response before it carries the next request.
 *
 * <p>HTTP/1.1 pairs responses with requests by their order alone. A surplus response that arrives
 * while the connection is idle shows as such; one that arrives after the next request was sent
 * would be taken for that request's response. Source: RFC 9112, 9.2 and 9.3.
 */
final class ReuseDelay {
    private static final long DEFAULT_NS = 100_000_000L;

    private long delayNs = DEFAULT_NS;

    /** Returns the delay in nanoseconds. */
    long ns() {
        return delayNs;
    }

    /** Makes connections reusable at once. */
    void disable() {
        delayNs = 0;
    }
}
