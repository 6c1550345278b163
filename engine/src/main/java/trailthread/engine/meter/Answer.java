package trailthread.engine.meter;

/** How a call that was taken was answered. */
public enum Answer {
    /** With what a worker made. */
    SERVED,
    /** With an overload reply. */
    OVERLOAD,
    /** With a failure. */
    FAILED
}
