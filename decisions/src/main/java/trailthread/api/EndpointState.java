package trailthread.api;

/** What the list says of an endpoint. */
public enum EndpointState {
    /** It takes new requests. */
    READY,
    /** It ends the requests that it has, and takes no new ones. */
    DRAINING,
    /** It is no longer listed. */
    GONE
}
