package trailthread.api;

import java.util.List;

/** The events that the host reports to the balancer. Times must not decrease. */
public interface BalancerEvents {
    /** A list event: the complete endpoint list, or the entries that changed. */
    void updateEndpointList(long now, ListKind kind, List<EndpointEntry> entries);

    /**
     * A client's request has arrived. It gets exactly one final answer: an {@link Outcome#OK}
     * outcome that finishes the request, {@link BalancerActions#reject} or {@link
     * BalancerActions#fail}.
     *
     * @param workNs expected work on a standard core; 0: not known
     * @param deadline when the client gives up, by the clock of the events
     * @param tenant the tenant, or null
     * @param clientRetry whether the client says that it sent the request before
     * @param key what the request concerns, for key affinity; 0: none
     * @throws IllegalArgumentException if the settings hold no such class
     */
    void requestArrived(
            long now,
            long id,
            String requestClass,
            long workNs,
            long deadline,
            String tenant,
            boolean clientRetry,
            long key);

    /**
     * The body of the request is sent on this attempt as it arrives from the client, so the
     * endpoint can't respond as fast as usual.
     */
    void bodyStreamed(long now, long id, int attempt);

    /**
     * A response that may be long has begun on this attempt. The request is not answered otherwise
     * while the attempt is in flight.
     *
     * @param heldUntil when the attempt ends unless the response goes on, by the clock of the
     *     events; it may be later than the request's deadline
     */
    void responseBegan(long now, long id, int attempt, long heldUntil);

    /** The first byte of a streamed response has been received on this attempt. */
    void firstByteReceived(long now, long id, int attempt);

    /**
     * An attempt has ended.
     *
     * @param latencyNs the latency in nanoseconds; -1 if the host handled the response late and
     *     cannot tell its own delay from the latency
     * @param finished whether the client has its final answer
     * @param load the load report that came with the response, or null
     */
    void attemptEnded(
            long now,
            long id,
            int attempt,
            Outcome outcome,
            long latencyNs,
            boolean finished,
            LoadReport load);

    /** The client has disconnected; no answer is owed. */
    void clientDisconnected(long now, long id);

    /** A timer set by {@link BalancerActions#setTimer} has fired. */
    void timerFired(long now, long token);

    /**
     * A health check has ended.
     *
     * @param load the load report, or null
     */
    void healthChecked(long now, String endpoint, Outcome outcome, long latencyNs, LoadReport load);

    /**
     * Sets when the lease on the endpoint list ends. A host that never calls this holds a lease
     * that does not end.
     *
     * @param until when, by the clock of the events: nothing is sent then or later
     */
    default void setListLeaseEnd(long now, long until) {}

    /** Sets the rule by which the host admits requests from now on; null admits all. */
    default void setAdmission(Admission admission) {}

    /** A message from another node has been received; a balancer that decides alone ignores it. */
    default void peerMessageReceived(long now, int from, byte[] data) {}
}
