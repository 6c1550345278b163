package trailthread.lab.server;

/** A request at a server's process, whoever brought it. */
public interface IncomingRequest {
    /** What a server says in the end. */
    enum Response {
        /** Served. */
        OK,
        /** Failed, perhaps after it has run. */
        ERROR,
        /** Turned away unseen. */
        FULL,
        /** It has run, and the connection is reset in place of an answer. */
        RESET,
        /** It has run, and what comes can't be read. */
        GARBAGE
    }

    /** In ns on a standard core. */
    double work();

    /** It has been taken: from now on it may run. */
    void executionStarted();

    /** It ends so, now. An answer of {@code trickleNs} above 0 takes so long to come, in ns. */
    void respond(Response response, long trickleNs);

    /** The process has ended under it. */
    void connectionBroken();
}
