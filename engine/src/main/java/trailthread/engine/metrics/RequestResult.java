package trailthread.engine.metrics;

/** How an admitted request was answered. */
public enum RequestResult {
    /** With an endpoint's response. */
    SERVED,
    /** With a rejection: the request had no effect, so a retry is safe. */
    REFUSED,
    /** With a failure: the request may have had its effect. */
    FAILED
}
