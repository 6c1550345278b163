package trailthread.engine.quota;

/**
 * Bounds the heap that the messages of all requests hold together: bodies, buffered responses, and
 * what peers have yet to accept. Not thread-safe: used on the event loop's thread.
 */
public final class MemoryBudget {
    /**
     * What memory is reserved for. The more is owed to the client, the more of the budget may be
     * used, so that what can be done without leaves room for new requests, and these leave room for
     * the responses to requests that were admitted.
     */
    public enum Use {
        /** A buffer that can be done without, as its bytes can be streamed or left unread. */
        OPTIONAL(2.0 / 3),
        /** A request that has not been admitted, and can be rejected. */
        NEW_REQUEST(0.9),
        /** The response to a request that was admitted. */
        RESPONSE(1);

        private final double usableShare;

        Use(double usableShare) {
            this.usableShare = usableShare;
        }
    }

    private final long limitBytes;
    private long reservedBytes;

    /** Creates a budget of which nothing is reserved. */
    public MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns how many bytes are reserved. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns an empty reservation. */
    public MemoryReservation newReservation() {
        return new MemoryReservation(this);
    }

    /** Reserves memory, if there is room for this use. */
    boolean tryReserve(Use use, long bytes) {
        if (reservedBytes + bytes > use.usableShare * limitBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Reserves memory for bytes that are already held, even beyond the limit. */
    void reserveHeld(long bytes) {
        reservedBytes += bytes;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }
}
