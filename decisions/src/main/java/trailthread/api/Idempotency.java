package trailthread.api;

/** Whether a request of a class may run more than once. */
public enum Idempotency {
    /** Repeats are harmless. */
    IDEMPOTENT,
    /**
     * Repeats are dropped by the endpoints of one {@link DeduplicationScope}, within the
     * deduplication window.
     */
    IDEMPOTENCY_KEY,
    /** The request must never run twice. */
    NOT_IDEMPOTENT
}
