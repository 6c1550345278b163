package trailthread.api;

/**
 * The actions that the balancer asks its host to take. The balancer calls them in order, while it
 * handles an event. {@link trailthread.Balancer} never calls {@link #cancel}, {@link
 * #closeIdleConnections}, {@link #sendToPeer} and {@link #fetchList}; other policies behind this
 * interface may.
 */
public interface BalancerActions {
    /**
     * Start an attempt. The attempts of a request are numbered from 0.
     *
     * @param timeoutNs how long to wait for the end of the attempt; 0: until the client gives up
     * @param writeDeadline when, by the clock of the events, the request must have been written; no
     *     byte of it may be written then or later. A host that does not write at once checks its
     *     clock first, and reports {@link Outcome#NOT_SENT} if it is too late
     */
    void send(long id, long timeoutNs, long writeDeadline, String endpoint);

    /**
     * Give the final answer: the request was rejected, and may safely be sent again.
     *
     * @param retryAfterNs advice to the client on when to retry; 0: none
     */
    void reject(long id, long retryAfterNs);

    /** Give the final answer: the request failed, and an endpoint may have processed it. */
    void fail(long id);

    /** Stop waiting for an attempt; its outcome is still to be reported. */
    void cancel(long id, int attempt);

    /** Set a timer: call {@link BalancerEvents#timerFired} after this delay. */
    void setTimer(long delayNs, long token);

    /** Check an endpoint's health; {@link BalancerEvents#healthChecked} brings the result. */
    void checkHealth(String endpoint);

    /** Close idle connections to an endpoint. */
    void closeIdleConnections(String endpoint);

    /** Send a message to another node, or to all (-1). */
    void sendToPeer(int peer, byte[] data);

    /** Watch the endpoint list, or stop watching. */
    void watchList(boolean on);

    /** Fetch the complete endpoint list once. */
    void fetchList();

    /** Log a line for operators. */
    void log(String text);
}
