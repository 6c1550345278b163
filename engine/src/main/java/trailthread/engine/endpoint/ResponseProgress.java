package trailthread.engine.endpoint;

/**
 * Decides when an incomplete response is streamed to the client, and whether it may outlast its
 * attempt's timeout. A response that may still be short is to be complete by then, so it is
 * buffered unless it looks like the start of a long one. Pure: times are passed in, by one clock,
 * in nanoseconds.
 */
final class ResponseProgress {
    /** A longer body is long: its first bytes are due in time, not its last. */
    static final int MAX_SHORT_BYTES = 64 * 1024;

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

    /** Returns how long the endpoint has sent nothing. */
    long silentNs(long now) {
        return now - lastPieceAt;
    }

    /** Returns whether the body is long, by its stated length or by what has been received. */
    boolean isLong() {
        return Math.max(length, receivedBytes) > MAX_SHORT_BYTES;
    }

    /** Returns whether the body is to be streamed, although it is incomplete. */
    boolean shouldStream(long now) {
        boolean heldLong = now - firstPieceAt >= maxBufferedNs;
        return isLong() || (length < 0 && heldLong && isSteady(now));
    }

    /** Returns whether the response may go on after its attempt's timeout. */
    boolean mayOutlastTimeout(long now) {
        return receivedBytes > 0 && (isLong() || (length < 0 && isSteady(now)));
    }

    /** Returns how long after {@link #mayOutlastTimeout} it is to be asked again. */
    long recheckNs() {
        return maxSilenceNs;
    }

    /** Returns whether the endpoint has kept sending, at the pace of a long response. */
    private boolean isSteady(long now) {
        long dueBytes = (now - firstPieceAt) * MIN_BYTES_PER_SECOND / NS_PER_SECOND;
        return receivedBytes >= dueBytes && silentNs(now) < maxSilenceNs;
    }
}
