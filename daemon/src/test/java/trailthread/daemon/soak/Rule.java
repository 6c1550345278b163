package trailthread.daemon.soak;

/** The rules that a run must not break. Each comment says what breaks the rule. */
enum Rule {
    /** A request written before the kill has no complete response. */
    UNANSWERED_AT_KILL,
    /** A response arrives more than half a second after the deadline. */
    LATE_RESPONSE,
    /** A response is that of another request. */
    WRONG_RESPONSE,
    /** A request that must not be repeated reaches servers twice. */
    REPEATED,
    /** An attempt reaches a server more than 0.1 s after its client left. */
    ATTEMPT_AFTER_CLIENT_LEFT,
    /**
     * A connection ends without a response, although the request had reached a server, or the
     * program was in service.
     */
    CLOSED_WITHOUT_RESPONSE,
    /** The process does not exit by itself in time, or not with status 0. */
    DID_NOT_EXIT
}
