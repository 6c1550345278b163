package trailthread.lab.clients;

/** Where clients send their attempts: the frontend of the nodes, in virtual time or on sockets. */
public interface RequestSink {
    /**
     * Sends an attempt to a node, and calls {@link ClientOperation#attemptEnded} once when it has
     * ended.
     *
     * @param zoneIndex the zone of the client
     * @param nodeChoice uniform in [0, 1); selects the node
     * @param clientTimeoutAt when the client gives up this attempt, in ns
     */
    void startAttempt(
            ClientOperation operation, int zoneIndex, double nodeChoice, long clientTimeoutAt);
}
