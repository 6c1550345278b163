package trailthread.daemon.listener;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;
import trailthread.engine.http.ByteSink;
import trailthread.engine.http.ByteSource;
import trailthread.engine.loop.EventLoop;

/**
 * Reads a request's body to its end, so that the response reaches the client: of a chunked body
 * that is left unread, Undertow closes the connection without a response.
 *
 * <p>A body that finds no memory to be buffered in is streamed: the receiver gets this reader as
 * the source of the body, which then flows at the pace at which its sink accepts it.
 *
 * <p>The client must keep up a least rate. If it does not, or the connection breaks, the connection
 * is closed.
 */
final class BodyReader implements ByteSource {
    /** Gets the body by one of these methods; {@link #aborted} may also follow a stream. */
    interface Receiver {
        /**
         * The request is complete.
         *
         * @param body empty if it was not to be buffered; null if it is too large
         */
        void complete(byte[] body);

        /** There is no memory to buffer the body: it is to be streamed, see {@link #onStream}. */
        void stream(BodyReader body);

        /** The body will never be complete; the connection is closed. */
        void aborted();
    }

    /** The longest body that a request may have. */
    static final long MAX_BODY_BYTES = 32 * 1024 * 1024;

    /** If a body that is not buffered is longer than this, the connection is closed. */
    private static final long MAX_DISCARDED_BYTES = 1024 * 1024;

    /** The least rate of a body; clients send 64 kB a second or more. */
    private static final long MIN_BYTES_PER_SECOND = 48_000;

    private static final long NS_PER_SECOND = 1_000_000_000L;

    /** How often a body that is paused is looked at. */
    private static final long PAUSED_CHECK_INTERVAL_NS = 1_000_000_000L;

    private final EventLoop loop;
    private final HttpServerExchange exchange;
    private final StreamSourceChannel channel;

    /** Null if the body is to be discarded. */
    private final BodyBuffer buffer;

    private final Receiver receiver;

    /** When the message is due, but for the time that the rate earns for the bytes received. */
    private long dueAt;

    private XnioExecutor.Key deadlineTimer;
    private long receivedBytes;
    private boolean tooLarge;

    /** Nothing more is read. */
    private boolean done;

    /** What was received before the stream began, and did not fit the buffer; then null. */
    private ByteBuffer unstreamed;

    private ByteSink sink;

    /** Since when reading is paused; 0: it is not. */
    private long pausedAt;

    private Runnable onStreamed = () -> {};
    private Runnable onClientGone = () -> {};

    /**
     * Makes a reader, and starts the client's time; {@link #read} follows.
     *
     * @param dueAt when the message is due, by the loop's clock, but for what its rate earns
     * @param buffered whether the body is wanted; else it is discarded, and passes for empty
     * @param memory where a long body's bytes are reserved; those of a body that is not handed over
     *     are released here
     */
    BodyReader(
            EventLoop loop,
            HttpServerExchange exchange,
            long dueAt,
            boolean buffered,
            BodyMemoryLimit memory,
            Receiver receiver) {
        this.loop = loop;
        this.exchange = exchange;
        this.dueAt = dueAt;
        this.receiver = receiver;
        buffer = buffered ? new BodyBuffer(memory, exchange.getRequestContentLength()) : null;
        channel = exchange.getRequestChannel();
        deadlineTimer = loop.scheduleAfterReading(dueAt - loop.now(), this::checkDeadline);
    }

    /**
     * Sets what happens at the end of a body that is streamed.
     *
     * @param onStreamed runs when its last byte has been given to the sink
     * @param onClientGone runs instead if it is never complete
     */
    void onStream(Runnable onStreamed, Runnable onClientGone) {
        this.onStreamed = onStreamed;
        this.onClientGone = onClientGone;
    }

    /** The longest time that the body may yet take at the least rate, in nanoseconds. */
    long longestNs() {
        long bytes = length() < 0 ? MAX_BODY_BYTES : length();
        return dueAt - loop.now() + timeForBytesNs(bytes);
    }

    /** Starts to read; a client that expects it gets a 100 Continue first (RFC 9110, 10.1.1). */
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
            giveUp();
        }
    }

    /** Reads what has come, up to the most that one turn of the loop may read. */
    private void readAvailable() {
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
                    channel.getReadSetter().set(readable -> readAvailable());
                    channel.resumeReads();
                    return;
                }
                boolean readsOn = accept(bytes.flip());
                if (!readsOn) {
                    return;
                }
            }
            readInNextTurn();
        } catch (IOException e) {
            giveUp();
        }
    }

    /** No event would announce the rest: it may lie in Undertow's buffers. */
    private void readInNextTurn() {
        channel.suspendReads();
        loop.afterSockets(
                () -> {
                    if (!done && pausedAt == 0) {
                        readAvailable();
                    }
                });
    }

    /** Handles bytes that were read; whether to read on at once. */
    private boolean accept(ByteBuffer bytes) {
        receivedBytes += bytes.remaining();
        return sink == null ? bufferOrDiscard(bytes) : streamOn(bytes);
    }

    private boolean streamOn(ByteBuffer bytes) {
        if (receivedBytes > MAX_BODY_BYTES) {
            giveUp();
            return false;
        }
        if (!sink.writePiece(bytes)) {
            pause();
            return false;
        }
        return !done;
    }

    private boolean bufferOrDiscard(ByteBuffer bytes) {
        if (receivedBytes > MAX_BODY_BYTES && !tooLarge) {
            tooLarge = true;
            releaseBuffer();
        }
        if (buffer == null || tooLarge) {
            if (receivedBytes > MAX_DISCARDED_BYTES) {
                giveUp();
                return false;
            }
            return true;
        }
        if (!buffer.append(bytes)) {
            unstreamed = buffer.drainWith(bytes);
            pause();
            receiver.stream(this);
            return false;
        }
        return true;
    }

    private void complete() {
        deadlineTimer.remove();
        done = true;
        if (sink != null) {
            sink.endBody();
            onStreamed.run();
            return;
        }
        receiver.complete(tooLarge ? null : body());
    }

    private byte[] body() {
        return buffer == null ? BodyBuffer.EMPTY : buffer.take();
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
        ByteBuffer first = unstreamed;
        unstreamed = null;
        if (sink.writePiece(first)) {
            resume();
        }
    }

    @Override
    public void resume() {
        if (!done) {
            dueAt += loop.now() - pausedAt; // the client is not to pay for the pause
            pausedAt = 0;
            readAvailable();
        }
    }

    @Override
    public void stop() {
        deadlineTimer.remove();
        unstreamed = null;
        if (!done) {
            done = true;
            channel.suspendReads();
        }
    }

    /** Closes the connection if the client has fallen behind the least rate. */
    private void checkDeadline() {
        long leftNs = dueAt + timeForBytesNs(receivedBytes) - loop.now();
        if (pausedAt > 0) {
            deadlineTimer =
                    loop.scheduleAfterReading(PAUSED_CHECK_INTERVAL_NS, this::checkDeadline);
        } else if (leftNs > 0) {
            deadlineTimer = loop.scheduleAfterReading(leftNs, this::checkDeadline);
        } else {
            giveUp();
        }
    }

    private static long timeForBytesNs(long bytes) {
        return NS_PER_SECOND * bytes / MIN_BYTES_PER_SECOND;
    }

    private void giveUp() {
        deadlineTimer.remove();
        if (!done) {
            done = true;
            releaseBuffer();
            receiver.aborted();
            onClientGone.run();
        }
        IoUtils.safeClose(exchange.getConnection());
    }
}
