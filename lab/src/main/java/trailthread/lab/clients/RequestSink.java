package trailthread.lab.clients;

/** What client attempts come to: the front of some nodes, in virtual time or on sockets. */
public interface RequestSink {
    /**
     * Takes an attempt, and tells {@link ClientOperation#attemptEnded} once how it ended.
     *
     * @param zone the client's, by number
     * @param draw uniform in [0, 1), for the choice of a node
     * @param clientTimeoutAt when the client gives this attempt up, in ns
     */
    void startAttempt(ClientOperation operation, int zone, double draw, long clientTimeoutAt);
}
