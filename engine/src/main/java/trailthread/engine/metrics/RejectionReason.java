package trailthread.engine.metrics;

/** Why a client's request was answered without being taken as a call. */
public enum RejectionReason {
    /** It is no call of the protocol. */
    BAD_REQUEST,
    /** Its body is larger than any call's. */
    TOO_LARGE,
    /** A call with its id is at work. */
    CONFLICT,
    /** No route takes it. */
    NO_ROUTE
}
