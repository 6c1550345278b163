package trailthread.daemon.listener;

/**
 * Bounds the total memory of long request bodies, each from its first byte to the end of its
 * request. Short bodies are not counted: the limit on connections bounds their memory.
 */
final class BodyMemoryLimit {
    /** Bodies up to this length are not counted. */
    static final int SHORT_BODY_BYTES = 64 * 1024;

    private final long limitBytes;
    private long reservedBytes;

    BodyMemoryLimit(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns the bytes to reserve for a body of this length: 0 for a short one. */
    static long reservationFor(long bodyBytes) {
        return bodyBytes > SHORT_BODY_BYTES ? bodyBytes : 0;
    }

    /** Reserves memory. If this returns true, the caller must release the bytes once. */
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
