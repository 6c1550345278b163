package trailthread.engine.meter;

/** How a call that was taken was answered. */
public enum Answer {
    /** With what a worker made. */
    SERVED,
    /** With a refusal: trying again is harmless. */
    REFUSED,
    /** With a failure. */
    FAILED
}
