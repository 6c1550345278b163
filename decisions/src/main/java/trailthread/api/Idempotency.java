package trailthread.api;

/** Whether a request of a class may run more than once. */
public enum Idempotency {
    /** Repeats are harmless. */
    IDEMPOTENT,
    /** Repeats are dropped by the endpoints of one group, for a window. */
    IDEMPOTENCY_KEY,
    /** Must never run twice. */
    NOT_IDEMPOTENT
}
