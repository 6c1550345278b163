package trailthread.api;

/** Which endpoints drop a repeat of a request with an {@link Idempotency#IDEMPOTENCY_KEY}. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** Those in the zone of the endpoint that first received the request. */
    ZONE,
    /** Those in the cell of the endpoint that first received the request. */
    CELL
}
