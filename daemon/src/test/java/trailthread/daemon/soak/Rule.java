package trailthread.daemon.soak;

/** The rules that a run is judged by. */
enum Rule {
    /** A request written before the kill has no complete response. */
    UNANSWERED_AT_KILL,
    /** A response comes more than half a second after the deadline. */
    LATE_RESPONSE,
    /** Work that must not be repeated reaches servers twice. */
    REPEATED,
    /** An attempt begins more than 0.1 s after the client left. */
    BEGUN_AFTER_CLIENT_LEFT,
    /** A connection ends without a response, although the request had reached a server. */
    CLOSED_UNDER_REQUEST,
    /** The process does not end by itself in its time, or not with status 0. */
    DID_NOT_END
}
