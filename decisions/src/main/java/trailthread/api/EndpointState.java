package trailthread.api;

/** The state of an endpoint in the endpoint list. */
public enum EndpointState {
    /** The endpoint takes new requests. */
    READY,
    /** The endpoint completes the requests that it has, and takes no new ones. */
    DRAINING,
    /** The endpoint is no longer listed. */
    GONE
}
