package trailthread.api;

/** Which endpoints drop a repeat of a {@link Idempotency#IDEMPOTENCY_KEY} request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
