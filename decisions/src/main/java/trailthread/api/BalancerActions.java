package trailthread.api;

/**
 * What the balancer asks of its host, in order, within the event that is being handled. {@link
 * trailthread.Balancer} never calls {@link #cancel}, {@link #closeIdle}, {@link #sendToPeer} and
 * {@link #fetch}; other policies behind this interface may.
 */
public interface BalancerActions {
    /**
     * Start an attempt. The attempts of a request are numbered from 0.
     *
     * @param timeoutNs how long to wait for its end; 0: until the client gives up
     * @param writeDeadline by the clock of the events: bytes not written by then must never be. A
     *     host that writes late looks at its clock first, and reports {@link Outcome#NOT_SENT}
     *     where it is too late
     */
    void send(long id, long timeoutNs, long writeDeadline, String endpoint);

    /**
     * Final answer: rejected, and harmless to send again.
     *
     * @param retryAfterNs advice to the client on when to retry; 0: none
     */
    void refuse(long id, long retryAfterNs);

    /** Final answer: failed; it may have had its effect. */
    void fail(long id);

    /** Stop waiting for an attempt; its outcome still comes. */
    void cancel(long id, int attempt);

    /** Call {@link BalancerEvents#timer} after this delay. */
    void timer(long delayNs, long token);

    /** Check an endpoint's health; {@link BalancerEvents#healthChecked} brings the result. */
    void checkHealth(String endpoint);

    /** Close idle connections to an endpoint. */
    void closeIdle(String endpoint);

    /** Send a message to another node, or to all (-1). */
    void sendToPeer(int peer, byte[] data);

    /** Watch the endpoint list, or stop watching. */
    void watch(boolean on);

    /** Fetch the complete endpoint list once. */
    void fetch();

    /** Log a line for operators. */
    void log(String text);
}
