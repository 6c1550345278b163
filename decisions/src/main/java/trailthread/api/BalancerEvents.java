package trailthread.api;

import java.util.List;

/** What the host tells the balancer. Times never go back. */
public interface BalancerEvents {
    /** News of the endpoints. */
    void list(long now, ListKind kind, List<EndpointEntry> entries);

    /**
     * A client's request. It gets one final answer: an {@link Outcome#OK} outcome that closes it,
     * {@link BalancerActions#refuse} or {@link BalancerActions#fail}.
     *
     * @param workNs expected work on a standard core; 0: not known
     * @param tenant or null
     * @param key what it concerns; 0: none
     * @throws IllegalArgumentException if the settings hold no such class
     */
    void request(
            long now,
            long id,
            String requestClass,
            long workNs,
            long deadline,
            String tenant,
            boolean repeat,
            long key);

    /** The answer to a streamed request has begun on this attempt. */
    void firstByte(long now, long id, int attempt);

    /**
     * How an attempt ended.
     *
     * @param latency in nanoseconds; -1 where the host can't tell its own lateness from it
     * @param closed the client has its answer
     * @param load or null
     */
    void outcome(
            long now,
            long id,
            int attempt,
            Outcome outcome,
            long latency,
            boolean closed,
            LoadReport load);

    /** The client went away; no answer is owed. */
    void gone(long now, long id);

    /** A timer asked for by {@link BalancerActions#timer} is due. */
    void timer(long now, long token);

    /** How a probe ended; {@code load} may be null. */
    void healthChecked(long now, String endpoint, Outcome outcome, long latency, LoadReport load);

    /**
     * The list may be acted on until this time, by the clock of the events: after it, nothing is
     * sent. A host that says nothing of it has a list that is good for ever.
     */
    default void listLeaseUntil(long now, long until) {}

    /** What the host allows for now, until it says otherwise; null: everything. */
    default void admit(Admission admission) {}

    /** A message from another node; one that decides alone asks nothing of its peers. */
    default void peer(long now, int from, byte[] data) {}
}
