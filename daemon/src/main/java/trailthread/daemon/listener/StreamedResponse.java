package trailthread.daemon.listener;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import trailthread.engine.http.ByteSink;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.quota.MemoryReservation;

/**
 * Streams a long response to a client. Bytes that the client does not accept at once are kept, and
 * until it accepts them no further bytes are requested from the source.
 *
 * <p>The client can always tell a response that is not complete. If neither a length nor chunks
 * frame it, as for a client of HTTP/1.0, the connection is set to end in a reset until the last
 * byte is passed on, whatever closes it: this class, another one, or the end of the process.
 */
final class StreamedResponse implements ByteSink, ResponseReadTimeout.PendingResponse {
    private static final Logger LOG = LoggerFactory.getLogger(StreamedResponse.class);
    private static final long NS_PER_SECOND = 1_000_000_000L;

    private final EventLoop loop;
    private final HttpServerExchange exchange;
    private final StreamSinkChannel channel;
    private final MemoryReservation memory;
    private final Runnable onWritable;
    private final Runnable onDisconnect;

    /** Bytes that the client has yet to accept; null if it has accepted all. */
    private ByteBuffer unwritten;

    /** The source has passed on the last byte. */
    private boolean endReached;

    /** Whether only the end of the connection ends the body. */
    private final boolean framedByConnection;

    /** The response is complete or was aborted. */
    private boolean closed;

    private final ResponseReadTimeout readTimeout;
    private long writtenBytes;

    /**
     * Starts to stream the body of a response whose status and headers have been set.
     *
     * @param memory counts the bytes that the client has yet to accept
     * @param onWritable runs when the client accepts bytes again
     * @param onDisconnect runs if the client disconnects before the last byte is passed on
     */
    StreamedResponse(
            EventLoop loop,
            HttpServerExchange exchange,
            MemoryReservation memory,
            Runnable onWritable,
            Runnable onDisconnect) {
        this.loop = loop;
        this.exchange = exchange;
        this.memory = memory;
        this.onWritable = onWritable;
        this.onDisconnect = onDisconnect;
        framedByConnection =
                !exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                        && !exchange.getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
        setCloseByReset(true);
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(writable -> writeUnwritten());
        readTimeout = new ResponseReadTimeout(loop, this);
    }

    @Override
    public boolean writePiece(ByteBuffer piece) {
        if (closed) {
            return true; // a disconnect is reported by onDisconnect
        }
        try {
            if (unwritten == null && !write(piece)) {
                unwritten = ByteBuffer.allocate(0);
                channel.resumeWrites();
            }
            if (unwritten != null) {
                keepUnwritten(piece);
                return false;
            }
        } catch (IOException e) {
            handleDisconnect();
        }
        return true;
    }

    @Override
    public void flushHead() {
        try {
            channel.flush();
        } catch (IOException e) {
            handleDisconnect();
        }
    }

    /** Writes as much as the client accepts; returns whether that was all. */
    private boolean write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            int count = channel.write(bytes);
            writtenBytes += count;
            if (count == 0) {
                return false;
            }
        }
        return true;
    }

    /** Appends to the kept bytes, as one read from the endpoint may yield several pieces. */
    private void keepUnwritten(ByteBuffer piece) {
        int held = unwritten.capacity();
        int needed = unwritten.remaining() + piece.remaining();
        memory.growHeld(needed);
        unwritten = ByteBuffer.allocate(needed).put(unwritten).put(piece).flip();
        memory.shrink(held);
    }

    @Override
    public void endBody() {
        endReached = true;
        if (!closed && unwritten == null) {
            finish();
        }
    }

    @Override
    public void abortBody() {
        if (!closed) {
            close();
            dropUnwritten();
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void writeUnwritten() {
        if (closed) {
            return;
        }
        try {
            if (unwritten != null && !write(unwritten)) {
                return;
            }
            dropUnwritten();
            if (endReached) {
                finish();
            } else {
                channel.suspendWrites();
                onWritable.run();
            }
        } catch (IOException e) {
            handleDisconnect();
        }
    }

    private void setCloseByReset(boolean enabled) {
        if (!framedByConnection) {
            return;
        }
        try {
            StreamConnection connection =
                    ((AbstractServerConnection) exchange.getConnection()).getChannel();
            connection.setOption(Options.CLOSE_ABORT, enabled);
        } catch (IOException e) {
            LOG.warn("a client of HTTP/1.0 can't be told if its response is cut off", e);
        }
    }

    private void dropUnwritten() {
        if (unwritten != null) {
            memory.shrink(unwritten.capacity());
            unwritten = null;
        }
    }

    private void finish() {
        try {
            setCloseByReset(false);
            channel.shutdownWrites();
            if (channel.flush()) {
                channel.suspendWrites();
                close();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            handleDisconnect();
        }
    }

    /**
     * Aborts the response. The attempt is notified in a separate task, as it may be the caller of
     * {@link #writePiece}, which must not reenter it.
     */
    void handleDisconnect() {
        if (closed) {
            return;
        }
        close();
        dropUnwritten();
        IoUtils.safeClose(exchange.getConnection());
        if (!endReached) {
            loop.execute(onDisconnect);
        }
    }

    private void close() {
        closed = true;
        readTimeout.cancel();
    }

    @Override
    public boolean hasEnded() {
        return closed;
    }

    @Override
    public boolean hasUnwritten() {
        return unwritten != null || endReached;
    }

    @Override
    public long writtenBytes() {
        return writtenBytes;
    }

    @Override
    public void offerUnwritten() {
        writeUnwritten();
    }

    @Override
    public void readTimedOut() {
        LOG.info(
                "a client's connection is closed: it has read nothing for {} s, after {} bytes of"
                        + " a response",
                ResponseReadTimeout.TIMEOUT_NS / NS_PER_SECOND,
                writtenBytes);
        handleDisconnect();
    }
}
