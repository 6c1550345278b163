package trailthread.daemon.listener;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;
import trailthread.engine.http.ByteSink;
import trailthread.engine.http.ByteSource;
import trailthread.engine.loop.EventLoop;

/**
 * Reads a request's body to its end, also when the response is written earlier: closing a
 * connection with unread bytes resets it, which can take the response from the client.
 *
 * <p>If there is no memory to buffer a body, it is streamed: the receiver gets this reader as the
 * source, which is read only as fast as the sink accepts bytes.
 *
 * <p>If the client sends more slowly than {@link #MIN_BYTES_PER_SECOND} or stops, or the connection
 * breaks, the connection is closed.
 */
final class BodyReader implements ByteSource {
    /** Gets the body by one of these methods; {@link #aborted} may also follow {@link #stream}. */
    interface Receiver {
        /**
         * The request is complete.
         *
         * @param body empty if it was discarded unbuffered; null if it is too large, and may still
         *     be arriving
         */
        void complete(byte[] body);

        /**
         * Whether the request can be answered before the end of a body that is discarded. If not,
         * the connection is closed if the body is long.
         */
        boolean canRespondBeforeEnd();

        /**
         * There is no memory to buffer the body: it must be streamed, see {@link
         * #setStreamCallbacks}.
         */
        void stream();

        /** The body will never be complete, and the connection is closed. */
        void aborted();
    }

    /** The longest body that a request may have. */
    static final long MAX_BODY_BYTES = 32 * 1024 * 1024;

    /** A body that is discarded is read to its end before the response if it is not longer. */
    private static final long MAX_DISCARDED_BYTES = 1024 * 1024;

    /** After the response, the rest of the body is read for this time. */
    private static final long DISCARD_REST_NS = 3_000_000_000L;

    /**
     * More than the systems of client and node hold of a body in their socket buffers. While more
     * than this is to be read, the client cannot have written its last byte.
     */
    private static final long MAX_SOCKET_BUFFER_BYTES = 16 * 1024 * 1024;

    /** The minimum rate of a body; clients send 64 kB a second or more. */
    private static final long MIN_BYTES_PER_SECOND = 48_000;

    /** A client that sends nothing for this long has stopped; it is closed within 3 s. */
    private static final long MAX_SILENCE_NS = 2_600_000_000L;

    private static final long NS_PER_SECOND = 1_000_000_000L;

    /** The longest piece of the bytes received before streaming that a sink is given at once. */
    private static final int MAX_PIECE_BYTES = 16 * 1024;

    /** How often the deadline is checked while reading is paused. */
    private static final long PAUSED_CHECK_INTERVAL_NS = 1_000_000_000L;

    private final EventLoop loop;
    private final HttpServerExchange exchange;
    private final StreamSourceChannel channel;

    /** Null if the body is to be discarded. */
    private final BodyBuffer buffer;

    private final Receiver receiver;

    /** Deadline of the message, without the extra time that each received byte adds. */
    private long deadlineWithoutBody;

    private XnioExecutor.Key deadlineTimer;
    private long receivedBytes;
    private boolean tooLarge;

    /** The body is complete or aborted: nothing more is read. */
    private boolean done;

    /** Nothing more is read until {@link #discardRest}. */
    private boolean stopped;

    /** The response has been started, and the rest of the body is discarded. */
    private boolean discardingRest;

    /** Everything that had arrived was read when the socket was read last. */
    private boolean caughtUp;

    /** The earliest time at which the last byte can have arrived, unless {@link #caughtUp}. */
    private long lastByteNotBefore;

    /** What was received before streaming started and is still to be given to the sink. */
    private final Deque<ByteBuffer> receivedBeforeStream = new ArrayDeque<>();

    private ByteSink sink;

    /** When bytes were received last, or reading was resumed. */
    private long receivedAt;

    /** When reading was paused; 0 if it is not paused. */
    private long pausedAt;

    private Runnable onStreamComplete = () -> {};
    private Runnable onDisconnect = () -> {};

    /**
     * Makes a reader and starts the timer for its deadline; {@link #read} follows.
     *
     * @param deadlineWithoutBody deadline of the message by the loop's clock, without the extra
     *     time that each received byte adds
     * @param buffered whether to buffer the body; if not, it is discarded and the receiver gets an
     *     empty one
     * @param memory where a buffered body is reserved
     */
    BodyReader(
            EventLoop loop,
            HttpServerExchange exchange,
            long deadlineWithoutBody,
            boolean buffered,
            RequestMemory memory,
            Receiver receiver) {
        this.loop = loop;
        this.exchange = exchange;
        this.deadlineWithoutBody = deadlineWithoutBody;
        this.receiver = receiver;
        buffer =
                buffered
                        ? new BodyBuffer(memory.reservation(), exchange.getRequestContentLength())
                        : null;
        channel = exchange.getRequestChannel();
        lastByteNotBefore = loop.arrivedNotBefore();
        receivedAt = loop.now();
        deadlineTimer =
                loop.scheduleAfterReading(deadlineWithoutBody - loop.now(), this::checkDeadline);
    }

    /**
     * Sets what runs at the end of a streamed body.
     *
     * @param onStreamComplete runs when the last byte has been given to the sink
     * @param onDisconnect runs instead if the body is never complete
     */
    void setStreamCallbacks(Runnable onStreamComplete, Runnable onDisconnect) {
        this.onStreamComplete = onStreamComplete;
        this.onDisconnect = onDisconnect;
    }

    /** The maximum time until the body is complete, in nanoseconds. */
    long maxRemainingNs() {
        long bytes = length() < 0 ? MAX_BODY_BYTES : length();
        return deadlineWithoutBody - loop.now() + timeForBytesNs(bytes);
    }

    /** Starts to read. A client that expects 100 Continue gets that first (RFC 9110, 10.1.1). */
    void read() {
        if (HttpContinue.requiresContinueResponse(exchange)) {
            HttpContinue.sendContinueResponse(exchange, new ReadAfterContinue());
        } else {
            readAvailable();
        }
    }

    private final class ReadAfterContinue implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange continued, Sender sender) {
            readAvailable();
        }

        @Override
        public void onException(HttpServerExchange continued, Sender sender, IOException e) {
            abort();
        }
    }

    /** Reads the available bytes, up to the limit of one pass of the loop. */
    private void readAvailable() {
        if (caughtUp) {
            caughtUp = false;
            lastByteNotBefore = loop.arrivedNotBefore();
        }
        try (var pooled = loop.buffers().allocate()) {
            ByteBuffer bytes = pooled.getBuffer();
            for (long read = 0; read < EventLoop.MAX_BYTES_PER_PASS; read += bytes.capacity()) {
                bytes.clear();
                int count = channel.read(bytes);
                if (count < 0) {
                    complete();
                    return;
                }
                if (count == 0) {
                    caughtUp = true;
                    channel.getReadSetter().set(readable -> readAvailable());
                    channel.resumeReads();
                    return;
                }
                boolean continuesReading = handleBytes(bytes.flip());
                if (!continuesReading) {
                    return;
                }
            }
            readInNextPass();
        } catch (IOException e) {
            abort();
        }
    }

    /**
     * Continues in the loop's next pass. The rest may already be in Undertow's buffers, where no
     * socket event would report it.
     */
    private void readInNextPass() {
        channel.suspendReads();
        loop.afterSockets(
                () -> {
                    if (!done && !stopped && pausedAt == 0) {
                        readAvailable();
                    }
                });
    }

    /** Handles bytes that were read; returns whether to continue reading at once. */
    private boolean handleBytes(ByteBuffer bytes) {
        receivedBytes += bytes.remaining();
        receivedAt = loop.now();
        if (length() - receivedBytes > MAX_SOCKET_BUFFER_BYTES) {
            lastByteNotBefore = loop.now();
        }
        if (discardingRest) {
            return true;
        }
        return sink == null ? bufferOrDiscard(bytes) : giveToSink(bytes);
    }

    private boolean giveToSink(ByteBuffer bytes) {
        if (receivedBytes > MAX_BODY_BYTES) {
            abort();
            return false;
        }
        if (!sink.writePiece(bytes)) {
            pause();
            return false;
        }
        return !done && !stopped;
    }

    private boolean bufferOrDiscard(ByteBuffer bytes) {
        if (receivedBytes > MAX_BODY_BYTES && !tooLarge) {
            tooLarge = true;
            releaseBuffer();
        }
        if (tooLarge || (buffer == null && receivedBytes > MAX_DISCARDED_BYTES)) {
            completeBeforeEnd();
            return false;
        }
        if (buffer == null) {
            return true;
        }
        if (!buffer.append(bytes)) {
            receivedBeforeStream.add(buffer.content());
            receivedBeforeStream.add(ByteBuffer.allocate(bytes.remaining()).put(bytes).flip());
            pause();
            receiver.stream();
            return false;
        }
        return true;
    }

    /** Has the request answered before the end of a long body that is discarded. */
    private void completeBeforeEnd() {
        if (!receiver.canRespondBeforeEnd()) {
            abort();
            return;
        }
        stop();
        receiver.complete(tooLarge ? null : BodyBuffer.EMPTY);
    }

    private void complete() {
        deadlineTimer.remove();
        done = true;
        if (discardingRest) {
            return; // the exchange ends when its response is written, too
        }
        if (sink != null) {
            sink.endBody();
            onStreamComplete.run();
            return;
        }
        receiver.complete(tooLarge ? null : body());
    }

    private byte[] body() {
        return buffer == null ? BodyBuffer.EMPTY : buffer.takeBody();
    }

    private void releaseBuffer() {
        if (buffer != null) {
            buffer.release();
        }
    }

    private void pause() {
        pausedAt = loop.now();
        channel.suspendReads();
    }

    @Override
    public long length() {
        return exchange.getRequestContentLength();
    }

    @Override
    public boolean isStarted() {
        return sink != null;
    }

    @Override
    public void streamTo(ByteSink to) {
        sink = to;
        resume();
    }

    /**
     * Gives the sink what was received before streaming started, in pieces that cost it little
     * memory; returns whether the sink has capacity for more.
     */
    private boolean giveReceivedBeforeStream() {
        while (!receivedBeforeStream.isEmpty()) {
            ByteBuffer received = receivedBeforeStream.element();
            int count = Math.min(received.remaining(), MAX_PIECE_BYTES);
            ByteBuffer piece = received.slice(received.position(), count);
            received.position(received.position() + count);
            if (!received.hasRemaining()) {
                receivedBeforeStream.remove();
            }
            if (!sink.writePiece(piece)) {
                return false;
            }
        }
        releaseBuffer();
        return true;
    }

    @Override
    public void resume() {
        if (!done && !stopped && giveReceivedBeforeStream()) {
            deadlineWithoutBody += loop.now() - pausedAt; // the pause is not the client's fault
            pausedAt = 0;
            receivedAt = loop.now();
            readAvailable();
        }
    }

    @Override
    public void stop() {
        deadlineTimer.remove();
        receivedBeforeStream.clear();
        releaseBuffer();
        if (!done) {
            stopped = true;
            fixLastByteTime();
            channel.suspendReads();
        }
    }

    /** From now on the last byte may arrive unread. */
    private void fixLastByteTime() {
        if (caughtUp) {
            caughtUp = false;
            lastByteNotBefore = loop.now();
        }
    }

    @Override
    public long lastByteNotBefore() {
        return caughtUp && !done ? loop.now() : lastByteNotBefore;
    }

    /** Reads the rest of the body, and discards it, as the response is being started. */
    void discardRest() {
        if (done || discardingRest) {
            return;
        }
        stop();
        stopped = false;
        discardingRest = true;
        pausedAt = 0;
        deadlineTimer = loop.schedule(DISCARD_REST_NS, this::endDiscarding);
        readInNextPass();
    }

    /** Closes the connection, unless its response is still being written. */
    private void endDiscarding() {
        boolean responding = exchange.getConnection().isOpen() && !exchange.isResponseComplete();
        if (responding) {
            deadlineTimer = loop.schedule(DISCARD_REST_NS, this::endDiscarding);
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Closes the connection if the client has fallen behind the minimum rate, or has stopped. */
    private void checkDeadline() {
        long deadline = deadlineWithoutBody + timeForBytesNs(receivedBytes);
        long leftNs = Math.min(deadline, receivedAt + MAX_SILENCE_NS) - loop.now();
        if (pausedAt > 0) {
            deadlineTimer =
                    loop.scheduleAfterReading(PAUSED_CHECK_INTERVAL_NS, this::checkDeadline);
        } else if (leftNs > 0) {
            deadlineTimer = loop.scheduleAfterReading(leftNs, this::checkDeadline);
        } else {
            abort();
        }
    }

    private static long timeForBytesNs(long bytes) {
        return NS_PER_SECOND * bytes / MIN_BYTES_PER_SECOND;
    }

    private void abort() {
        deadlineTimer.remove();
        if (!done && !discardingRest) {
            done = true;
            releaseBuffer();
            receiver.aborted();
            onDisconnect.run();
        }
        done = true;
        IoUtils.safeClose(exchange.getConnection());
    }
}
