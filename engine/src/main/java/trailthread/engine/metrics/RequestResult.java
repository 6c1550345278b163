package trailthread.engine.metrics;

/** How an admitted request was answered. */
public enum RequestResult {
    /** With an endpoint's response. */
    SERVED,
    /** Rejected: it had no effect, so a retry is safe. */
    REFUSED,
    /** With a failure: it may have had its effect. */
    FAILED
}
