package trailthread.api;

/** What the balancer asks of its host, in order, within the event being handled. */
public interface BalancerActions {
    /**
     * Start an attempt; they are numbered from 0 by request.
     *
     * @param timeoutNs how long to wait for its end; 0: until the client gives up
     * @param writtenBy by the clock of the events: what has not been written by then never is. A
     *     host that writes later than it was asked to looks at its clock first, and tells {@link
     *     Outcome#NOT_SENT} where it is too late
     */
    void send(long id, long timeoutNs, long writtenBy, String endpoint);

    /** Final answer: turned away, harmless to try again; {@code retryAfterNs} 0: no advice. */
    void refuse(long id, long retryAfterNs);

    /** Final answer: failed. */
    void fail(long id);

    /** Stop waiting for an attempt; its outcome still comes. */
    void cancel(long id, int attempt);

    /** Call {@link BalancerEvents#timer} after this delay. */
    void timer(long delayNs, long token);

    /** Probe an endpoint. */
    void probe(String endpoint);

    /** Close idle connections to an endpoint. */
    void closeIdle(String endpoint);

    /** Message another node, or all (-1). */
    void tell(int peer, byte[] data);

    /** Watch the list, or stop watching. */
    void watch(boolean on);

    /** Fetch the whole list once. */
    void fetch();

    /** A line for the staff. */
    void log(String text);
}
