package trailthread.daemon.listener;

/**
 * Bounds the memory that long request bodies may take together, from their first byte to the end of
 * the request. Short bodies are not counted: the limit on connections bounds them.
 */
final class BodyMemoryLimit {
    /** Only bodies longer than this are counted, in bytes. */
    static final int SHORT_BODY_BYTES = 64 * 1024;

    private final long limitBytes;
    private long reservedBytes;

    BodyMemoryLimit(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** How many bytes are to be reserved for a body of this size: none for a short one. */
    static long reservationFor(long bodyBytes) {
        return bodyBytes > SHORT_BODY_BYTES ? bodyBytes : 0;
    }

    /** Reserves memory; if this returns true, the bytes are to be released once. */
    boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > limitBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }
}
