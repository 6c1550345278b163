package trailthread.lab.server;

/** An attempt of a node as its server process receives it, in virtual time or on a socket. */
public interface IncomingRequest {
    /** How the server responds. */
    enum Response {
        OK,
        /** The request failed and may have been executed. */
        ERROR,
        /** Rejected without execution. */
        FULL,
        /** Executed, but the connection is reset instead of a response. */
        RESET,
        /** Executed, but the response is not valid HTTP. */
        GARBAGE
    }

    /** The work of the request, in ns on a standard core. */
    double work();

    /** The server has accepted the request: from now on it may be executed. */
    void accepted();

    /**
     * Sends the response now. With {@code trickleNs} above 0 its bytes are spread over this time,
     * in ns.
     */
    void respond(Response response, long trickleNs);

    /** The server process has ended, and with it the connection. */
    void connectionBroken();
}
