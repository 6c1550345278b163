package trailthread.engine.metrics;

/** How a call that was taken was answered. */
public enum RequestResult {
    /** With what a worker made. */
    SERVED,
    /** With a refusal: trying again is harmless. */
    REFUSED,
    /** With a failure. */
    FAILED
}
