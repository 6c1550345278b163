package trailthread.engine.endpoint;

/**
 * How long a connection is idle before it carries a request. Times are handed in, in nanoseconds by
 * a clock that never steps.
 *
 * <p>HTTP/1.1 pairs responses with requests by their order alone. A surplus response that arrives
 * while the connection is idle shows as such; one that arrives after the next request was sent
 * would be taken for that request's response. Once any endpoint has sent surplus bytes, connections
 * rest for longer, by a multiple of the delay with which these came. Source: RFC 9112, 9.2 and 9.3.
 */
final class ReuseDelay {
    static final long DEFAULT_NS = 100_000_000L;
    static final long MIN_AFTER_SURPLUS_NS = 250_000_000L;
    static final long MAX_NS = 1_000_000_000L;

    /** The delay after a surplus, as a multiple of the time after which the surplus came. */
    static final long MARGIN = 4;

    /** How long a surplus is remembered. */
    static final long MEMORY_NS = 600_000_000_000L;

    /** A new connection rests for this long beyond the round trip of its connect. */
    static final long FIRST_USE_MARGIN_NS = 2_000_000L;

    static final long MAX_FIRST_USE_NS = 10_000_000L;

    private boolean disabled;
    private long afterSurplusNs;
    private long rememberedUntil = Long.MIN_VALUE;

    /** Returns the delay in nanoseconds. */
    long ns(long now) {
        if (disabled) {
            return 0;
        }
        return now < rememberedUntil ? afterSurplusNs : DEFAULT_NS;
    }

    /**
     * Returns how long a new connection is idle before it carries its first request, in
     * nanoseconds. What the endpoint sends at once when it accepts the connection arrives about a
     * round trip after the connect.
     *
     * @param connectNs how long the connect took
     */
    long firstUseNs(long connectNs) {
        return disabled ? 0 : Math.min(MAX_FIRST_USE_NS, connectNs + FIRST_USE_MARGIN_NS);
    }

    /**
     * Lengthens the delay.
     *
     * @param afterNs how long after a response the surplus came
     */
    void surplusReceived(long now, long afterNs) {
        long remembered = now < rememberedUntil ? afterSurplusNs : MIN_AFTER_SURPLUS_NS;
        afterSurplusNs = Math.max(remembered, Math.min(MAX_NS, MARGIN * afterNs));
        rememberedUntil = now + MEMORY_NS;
    }

    /** Makes connections reusable at once. */
    void disable() {
        disabled = true;
    }
}
