package trailthread.engine.metrics;

/** Why a client's request was answered without being admitted. */
public enum RejectionReason {
    /** It does not conform to the protocol. */
    BAD_REQUEST,
    /** Its body is larger than is allowed. */
    TOO_LARGE,
    /** A request with its id is open. */
    CONFLICT,
    /** No route matches it. */
    NO_ROUTE
}
