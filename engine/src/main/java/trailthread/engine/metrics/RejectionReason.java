package trailthread.engine.metrics;

/** Why a client's request was answered without being admitted. */
public enum RejectionReason {
    /** The request does not conform to the protocol. */
    BAD_REQUEST,
    /** The body is larger than is allowed. */
    TOO_LARGE,
    /** Another request with the same id is open. */
    CONFLICT,
    /** No route matches the request. */
    NO_ROUTE
}
