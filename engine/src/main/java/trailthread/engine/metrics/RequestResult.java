package trailthread.engine.metrics;

/** How a call that was taken was answered. */
public enum RequestResult {
    /** With what an endpoint made. */
    SERVED,
    /** With a refusal: trying again is harmless. */
    REFUSED,
    /** With a failure. */
    FAILED
}
