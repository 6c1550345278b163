package trailthread.daemon.listener;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import trailthread.engine.http.ByteSink;
import trailthread.engine.loop.EventLoop;

/**
 * Streams a long response to a client. What the client has not accepted of a piece is kept until it
 * does, and no further piece is asked for meanwhile.
 */
final class StreamedResponse implements ByteSink {
    /** The connection of a client that accepts nothing for this time is closed. */
    private static final long WRITE_TIMEOUT_NS = 10_000_000_000L;

    private static final long NOT_WAITING = -1;

    private final EventLoop loop;
    private final HttpServerExchange exchange;
    private final StreamSinkChannel channel;
    private final Runnable onWritable;
    private final Runnable onClientGone;

    /** What the client has yet to accept; null if it has accepted all. */
    private ByteBuffer unwritten;

    /** The last piece has been given. */
    private boolean ending;

    /** The response is complete or broken off. */
    private boolean closed;

    private XnioExecutor.Key timeoutTimer;
    private long writtenBytes;

    /** The bytes written by the last check for a timeout; {@link #NOT_WAITING} if none was due. */
    private long writtenBytesAtCheck = NOT_WAITING;

    /**
     * Starts to stream on an exchange whose status and headers have been set.
     *
     * @param onWritable runs when the client accepts more after it had not
     * @param onClientGone runs if the client disconnects before the last piece
     */
    StreamedResponse(
            EventLoop loop,
            HttpServerExchange exchange,
            Runnable onWritable,
            Runnable onClientGone) {
        this.loop = loop;
        this.exchange = exchange;
        this.onWritable = onWritable;
        this.onClientGone = onClientGone;
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(writable -> writeUnwritten());
        timeoutTimer = loop.schedule(WRITE_TIMEOUT_NS, this::checkTimeout);
    }

    @Override
    public boolean writePiece(ByteBuffer piece) {
        if (closed) {
            return true; // the attempt is notified separately
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
            clientGone();
        }
        return true;
    }

    /** Writes what the client accepts; whether that was all. */
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

    /** Appends, as several pieces may come of what was read from the endpoint at once. */
    private void keepUnwritten(ByteBuffer piece) {
        unwritten =
                ByteBuffer.allocate(unwritten.remaining() + piece.remaining())
                        .put(unwritten)
                        .put(piece)
                        .flip();
    }

    @Override
    public void endBody() {
        ending = true;
        if (!closed && unwritten == null) {
            finish();
        }
    }

    @Override
    public void abortBody() {
        if (!closed) {
            close();
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
            unwritten = null;
            if (ending) {
                finish();
            } else {
                channel.suspendWrites();
                onWritable.run();
            }
        } catch (IOException e) {
            clientGone();
        }
    }

    private void finish() {
        try {
            channel.shutdownWrites();
            if (channel.flush()) {
                channel.suspendWrites();
                close();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            clientGone();
        }
    }

    /**
     * Breaks the response off. The attempt is notified in a task of its own, as it may be the
     * caller of {@link #writePiece}, and must not be entered again from there.
     */
    void clientGone() {
        if (closed) {
            return;
        }
        close();
        unwritten = null;
        IoUtils.safeClose(exchange.getConnection());
        if (!ending) {
            loop.execute(onClientGone);
        }
    }

    private void close() {
        closed = true;
        timeoutTimer.remove(); // it would keep the exchange in memory
    }

    private void checkTimeout() {
        if (closed) {
            return;
        }
        boolean waiting = unwritten != null || ending;
        if (waiting && writtenBytes == writtenBytesAtCheck) {
            clientGone();
            return;
        }
        writtenBytesAtCheck = waiting ? writtenBytes : NOT_WAITING;
        timeoutTimer = loop.schedule(WRITE_TIMEOUT_NS, this::checkTimeout);
    }
}
