package trailthread.engine.endpoint;

/**
 * Decides when an incomplete response is streamed to the client, and how long it may stay
 * incomplete. Pure: times are passed in, by one clock, in nanoseconds.
 *
 * <ul>
 *   <li>Long, by its stated length or by what has been received: only its first bytes are due by
 *       the request's deadline. It is streamed from its first piece on, or from the deadline.
 *   <li>Of unknown length: it may be long until {@link #GRACE_NS} after the deadline. It is
 *       streamed once it has gone on like a long one.
 *   <li>Of a stated short length: it is to be complete by its attempt's timeout.
 * </ul>
 */
final class ResponseProgress {
    /** A longer body is long: its first bytes are due in time, not its last. */
    static final int MAX_SHORT_BYTES = 64 * 1024;

    /**
     * How long after the deadline a response of unknown length is held that has not gone on since.
     * Half a second after its deadline a request is lost; the rest is for the loop.
     */
    static final long GRACE_NS = 450_000_000L;

    /** Returned by {@link #dueAt} for a response that only silence ends. */
    static final long NEVER = Long.MAX_VALUE;

    /** The longest pause of a response that has gone on after its deadline. */
    private static final long MAX_PAUSE_NS = 1_000_000_000L;

    /**
     * The longest time for which the bytes of a long response are held back as it may be short.
     * Clients get the rest of a long response within 2 s.
     */
    private static final long MAX_BUFFERED_NS = 1_000_000_000L;

    /** A response that is slower than this does not look like a long one. */
    private static final long MIN_BYTES_PER_SECOND = 2 * 1024;

    private static final long NS_PER_SECOND = 1_000_000_000L;

    private final long length;
    private final long maxSilenceNs;
    private final long maxBufferedNs;
    private long receivedBytes;
    private long firstPieceAt;
    private long lastPieceAt;

    /**
     * Creates the progress of a response of whose body nothing has been received.
     *
     * @param length the body's length as stated in the head, in bytes; negative: not stated
     * @param requestNs the time of the request
     */
    ResponseProgress(long length, long requestNs) {
        this.length = length;
        maxSilenceNs = requestNs / 2;
        maxBufferedNs = Math.min(MAX_BUFFERED_NS, requestNs / 2);
    }

    /** Records a piece of the body. */
    void pieceReceived(int bytes, long now) {
        if (receivedBytes == 0) {
            firstPieceAt = now;
        }
        receivedBytes += bytes;
        lastPieceAt = now;
    }

    /** Records that the client, not the endpoint, has held up the body until now. */
    void clientHeldUp(long now) {
        firstPieceAt += now - lastPieceAt;
        lastPieceAt = now;
    }

    /** Returns how many bytes of the body have been received. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Returns how long the endpoint has sent nothing. */
    long silentNs(long now) {
        return now - lastPieceAt;
    }

    /** Returns whether the body is long, by its stated length or by what has been received. */
    boolean isLong() {
        return Math.max(length, receivedBytes) > MAX_SHORT_BYTES;
    }

    /** Returns whether the response may last beyond its attempt's timeout. */
    boolean mayOutlastTimeout() {
        return length < 0 || isLong();
    }

    /**
     * Returns whether the body is to be streamed, although it is incomplete.
     *
     * @param deadline the request's
     */
    boolean shouldStream(long now, long deadline) {
        boolean isDue = now >= deadline;
        if (isLong()) {
            return isDue || receivedBytes > 0;
        }
        boolean isHeldLong = isDue || now - firstPieceAt >= maxBufferedNs;
        return length < 0 && isHeldLong && hasPace(now) && silentNs(now) < maxSilenceNs;
    }

    /**
     * Returns until when the response may stay incomplete, as far as is known now: later pieces
     * move it on. {@link #NEVER} once only silence ends the response.
     *
     * @param deadline the request's
     */
    long dueAt(long now, long deadline) {
        if (now < deadline) {
            return deadline;
        }
        if (isLong()) {
            return NEVER;
        }
        if (length >= 0) {
            return deadline;
        }
        long graceEnd = deadline + GRACE_NS;
        boolean hasGoneOn = lastPieceAt >= deadline && hasPace(now);
        return hasGoneOn ? Math.max(graceEnd, lastPieceAt + MAX_PAUSE_NS) : graceEnd;
    }

    /** Returns whether the endpoint has sent the body at the pace of a long response so far. */
    boolean hasPace(long now) {
        long dueBytes = (now - firstPieceAt) * MIN_BYTES_PER_SECOND / NS_PER_SECOND;
        return receivedBytes > 0 && receivedBytes >= dueBytes;
    }
}
