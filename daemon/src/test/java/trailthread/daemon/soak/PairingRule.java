package trailthread.daemon.soak;

/** The rules that break when a response is taken for another request's. */
enum PairingRule {
    /** A client got a body that no server made for its request. */
    WRONG_RESPONSE,
    /** A request that may not be repeated reached a second server after it may have run. */
    REPEATED,
    /** A keyed request that may have run was sent to a server outside its group. */
    REPEATED_OUTSIDE_GROUP,
    /** An attempt began while the one before it was out on an open connection. */
    TWO_AT_ONCE
}
