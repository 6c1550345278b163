package trailthread.lab.clients;

/** What clients' tries come to: the front of some nodes, in virtual time or on sockets. */
public interface RequestSink {
    /**
     * Takes a try, and tells {@link ClientRequest#saw} once how it ended.
     *
     * @param zone the client's, by number
     * @param draw uniform in [0, 1), for the choice of a node
     * @param until when the client gives this try up, in ns
     */
    void take(ClientRequest ask, int zone, double draw, long until);
}
