package trailthread.engine.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.XnioExecutor;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.http.ByteSink;
import trailthread.engine.loop.EventLoop;

/**
 * The response to one attempt. A short body is buffered, so that a failed attempt can be retried
 * without the client seeing the failure. A longer body is streamed to the client as it arrives, and
 * so is a slow one of unknown length, as {@link ResponseProgress} decides.
 */
final class AttemptResponse {
    private static final int INITIAL_BUFFER_BYTES = 512;

    /**
     * A body of unknown length from an endpoint that serves plain HTTP is streamed this long after
     * its first bytes: it may be a stream of events.
     */
    private static final long MAX_PLAIN_BUFFERED_NS = 100_000_000L;

    /**
     * A streamed response that brings no byte for this long while its sink has capacity is reset.
     */
    private static final long MAX_SILENCE_NS = 10_000_000_000L;

    private static final long NS_PER_MS = 1_000_000L;
    private static final long UNKNOWN_LENGTH = -1;
    private static final byte[] NO_BYTES = {};

    private final EventLoop loop;
    private final AttemptExchange attempt;
    private final AttemptListener listener;
    private final ResponseHead head;
    private final ResponseProgress progress;

    /** When the head was received. */
    private final long receivedAt;

    /** Null: only the body goes to the client. */
    private final HeaderMap forwardedHeaders;

    /** The body's length as stated in the head, in bytes, or {@link #UNKNOWN_LENGTH}. */
    private final long length;

    private byte[] buffer = NO_BYTES;
    private int bufferedBytes;

    /** Receives the streamed body; null: the body is buffered. */
    private ByteSink sink;

    private boolean sinkHasCapacity;
    private XnioExecutor.Key bufferTimer;
    private XnioExecutor.Key silenceTimer;

    /**
     * Creates a response whose head has been received.
     *
     * @param isForwarded whether status and headers go to the client as they are
     * @param requestNs the time of the request, in nanoseconds
     */
    AttemptResponse(
            EventLoop loop,
            AttemptExchange attempt,
            AttemptListener listener,
            int status,
            HeaderMap headers,
            boolean isForwarded,
            long requestNs) {
        this.loop = loop;
        this.attempt = attempt;
        this.listener = listener;
        receivedAt = loop.now();
        head = ResponseHead.decode(status, headers);
        forwardedHeaders = isForwarded ? headers : null;
        String contentLength = headers.getFirst(Headers.CONTENT_LENGTH);
        length = contentLength == null ? UNKNOWN_LENGTH : Long.parseLong(contentLength);
        progress = new ResponseProgress(length, requestNs);
    }

    boolean isStreaming() {
        return sink != null;
    }

    /** Returns the outcome of the attempt if the response is complete. */
    Outcome outcome() {
        return head.outcome(forwardedHeaders != null);
    }

    /** Returns the head's load report; null if there is none, or if streaming has outdated it. */
    LoadReport load() {
        return isStreaming() ? null : head.load();
    }

    /** Returns the response with the buffered part of its body. */
    EndpointResponse toEndpointResponse() {
        boolean isFull = buffer.length == bufferedBytes;
        byte[] body = isFull ? buffer : Arrays.copyOf(buffer, bufferedBytes);
        return forwardedHeaders == null
                ? EndpointResponse.of(body)
                : new EndpointResponse(head.status(), forwardedHeaders, body);
    }

    /** Buffers or streams a piece of the body. */
    void addPiece(ByteBuffer piece) {
        if (!isStreaming() && outcome() != Outcome.OK) {
            return; // the body of a failed attempt is not used
        }
        progress.pieceReceived(piece.remaining(), loop.now());
        if (bufferTimer == null && !isStreaming() && mayBeEventStream()) {
            bufferTimer = loop.schedule(MAX_PLAIN_BUFFERED_NS, this::startStreaming);
        }
        if (!isStreaming()
                && !progress.shouldStream(loop.now(), attempt.responseDeadline())
                && buffer(piece)) {
            return;
        }
        if (!isStreaming() && !startStreaming()) {
            return;
        }
        streamPiece(piece);
    }

    private boolean mayBeEventStream() {
        return forwardedHeaders != null && length == UNKNOWN_LENGTH;
    }

    /**
     * Returns whether the response may last beyond its attempt's timeout. No other attempt can
     * follow one whose response the client has begun to receive.
     */
    boolean mayOutlastTimeout() {
        return outcome() == Outcome.OK && (isStreaming() || progress.mayOutlastTimeout());
    }

    /**
     * Lets a response that {@linkplain #mayOutlastTimeout may outlast} its attempt's timeout go on,
     * and streams it if its first bytes are due now.
     *
     * @return when it is to be asked again; now or earlier: its time is over; {@link
     *     ResponseProgress#NEVER}: only silence ends the response, or the attempt has ended
     */
    long continueAfterTimeout() {
        long now = loop.now();
        long deadline = attempt.responseDeadline();
        boolean mustStream = !isStreaming() && progress.shouldStream(now, deadline);
        if (mustStream && !startStreaming()) {
            return ResponseProgress.NEVER;
        }
        if (isStreaming() && mayBeEventStream()) {
            return ResponseProgress.NEVER;
        }
        boolean heldUpByClient = isStreaming() && !sinkHasCapacity;
        return heldUpByClient ? now + ResponseProgress.GRACE_NS : progress.dueAt(now, deadline);
    }

    /** Returns whether the endpoint was sending the body at the pace of a long response. */
    boolean hasPace() {
        return progress.hasPace(loop.now());
    }

    /** Returns what has been received, for the log. */
    String describe() {
        long receivedBytes = progress.receivedBytes();
        String pieces =
                receivedBytes == 0
                        ? "no body"
                        : receivedBytes
                                + " bytes, the last "
                                + progress.silentNs(loop.now()) / NS_PER_MS
                                + " ms before";
        return "head " + (loop.now() - receivedAt) / NS_PER_MS + " ms before, " + pieces;
    }

    /** Appends to the buffer; returns false if there is no memory for it. */
    private boolean buffer(ByteBuffer piece) {
        int count = piece.remaining();
        int needed = bufferedBytes + count;
        if (needed > buffer.length) {
            int doubled = Math.max(INITIAL_BUFFER_BYTES, 2 * buffer.length);
            int capacity = Math.max(doubled, needed);
            if (!listener.tryReserveMemory(capacity - buffer.length)) {
                return false;
            }
            buffer = Arrays.copyOf(buffer, capacity);
        }
        piece.get(buffer, bufferedBytes, count);
        bufferedBytes = needed;
        return true;
    }

    /**
     * Streams the buffered bytes, and from then on each piece as it arrives.
     *
     * @return whether the attempt has not ended
     */
    private boolean startStreaming() {
        bufferTimer = AttemptExchange.cancelTimer(bufferTimer);
        EndpointResponse start = new EndpointResponse(head.status(), forwardedHeaders, NO_BYTES);
        sink = listener.streamingStarted(start, length, head.load(), this::resumeStreaming);
        if (sink == null) {
            attempt.endAttempt(Outcome.CANCELLED);
            return false;
        }
        sinkHasCapacity = true;
        attempt.streamingStarted();
        silenceTimer = loop.schedule(MAX_SILENCE_NS, this::resetIfSilent);
        if (bufferedBytes > 0) {
            ByteBuffer buffered = ByteBuffer.wrap(buffer, 0, bufferedBytes);
            bufferedBytes = 0;
            streamPiece(buffered);
            releaseBuffer();
        } else {
            sink.flushHead();
        }
        return !attempt.hasEnded();
    }

    private void releaseBuffer() {
        listener.releaseMemory(buffer.length);
        buffer = NO_BYTES;
    }

    private void streamPiece(ByteBuffer piece) {
        sinkHasCapacity = sink.writePiece(piece);
        if (!sinkHasCapacity) {
            attempt.pauseReading();
        }
    }

    private void resumeStreaming() {
        sinkHasCapacity = true;
        progress.clientHeldUp(loop.now());
        attempt.resumeReading();
    }

    private void resetIfSilent() {
        if (attempt.hasEnded()) {
            return;
        }
        long silentNs = sinkHasCapacity ? progress.silentNs(loop.now()) : 0;
        if (silentNs >= MAX_SILENCE_NS) {
            attempt.endAttempt(Outcome.RESET);
        } else {
            silenceTimer = loop.schedule(MAX_SILENCE_NS - silentNs, this::resetIfSilent);
        }
    }

    /**
     * Ends the stream, if there is one, and cancels the timers, which would keep the request's body
     * in memory.
     *
     * @param isComplete whether the response has been received completely
     */
    void close(boolean isComplete) {
        if (isStreaming() && isComplete) {
            sink.endBody();
        } else if (isStreaming()) {
            sink.abortBody();
        }
        if (!isComplete) {
            releaseBuffer();
        }
        bufferTimer = AttemptExchange.cancelTimer(bufferTimer);
        silenceTimer = AttemptExchange.cancelTimer(silenceTimer);
    }
}
