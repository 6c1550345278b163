package trailthread.api;

/** What the list says of an endpoint. */
public enum EndpointState {
    READY,
    DRAINING,
    GONE
}
