package trailthread.api;

import java.util.List;

/** What the host reports to the balancer. Times never go back. */
public interface BalancerEvents {
    /** A list event: the endpoint list, or what changed of it. */
    void list(long now, ListKind kind, List<EndpointEntry> entries);

    /**
     * A client's request has arrived. It gets one final answer: an {@link Outcome#OK} outcome that
     * closes it, {@link BalancerActions#refuse} or {@link BalancerActions#fail}.
     *
     * @param workNs expected work on a standard core; 0: not known
     * @param deadline when the client gives up, by the clock of the events
     * @param tenant or null
     * @param clientRetry the client says that it sent the request before
     * @param key what the request concerns, for key affinity; 0: none
     * @throws IllegalArgumentException if the settings hold no such class
     */
    void request(
            long now,
            long id,
            String requestClass,
            long workNs,
            long deadline,
            String tenant,
            boolean clientRetry,
            long key);

    /** The answer to a streamed request has begun on this attempt. */
    void firstByte(long now, long id, int attempt);

    /**
     * An attempt has ended.
     *
     * @param latencyNs in nanoseconds; -1 where the host can't tell its own lateness from it
     * @param finished the client has its answer
     * @param load what the endpoint reported with it, or null
     */
    void outcome(
            long now,
            long id,
            int attempt,
            Outcome outcome,
            long latencyNs,
            boolean finished,
            LoadReport load);

    /** The client has disconnected; no answer is owed. */
    void clientDisconnected(long now, long id);

    /** A timer set by {@link BalancerActions#timer} is due. */
    void timer(long now, long token);

    /**
     * A health check has ended.
     *
     * @param load what the endpoint reported, or null
     */
    void healthChecked(long now, String endpoint, Outcome outcome, long latencyNs, LoadReport load);

    /**
     * The lease on the endpoint list has been renewed or lost: from this time on, by the clock of
     * the events, nothing is sent. A host that never calls this has a list that is valid for ever.
     */
    default void listLeaseUntil(long now, long until) {}

    /** Which requests the host admits from now on; null: all. */
    default void admit(Admission admission) {}

    /** A message from another node; a balancer that decides alone ignores it. */
    default void peerMessage(long now, int from, byte[] data) {}
}
