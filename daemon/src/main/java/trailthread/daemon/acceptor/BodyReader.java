package trailthread.daemon.acceptor;

import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;
import trailthread.engine.loop.Loop;

/**
 * Reads a request's body to its end, so that whatever is answered then reaches the client. Guards against
 * Undertow's own drain of what is left unread: of a chunked body it closes the connection unanswered.
 */
final class BodyReader {
    static final int MOST_BYTES = 64 * 1024;
    /** Of a chunked body that is too large, so much is read past before the connection ends unanswered. */
    private static final long MOST_SKIPPED = 1024 * 1024;

    private final Loop loop;
    private final HttpServerExchange exchange;
    private final StreamSourceChannel channel;
    private final boolean keep;
    private final Consumer<byte[]> whole;
    private final Runnable broken;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final XnioExecutor.Key late;
    private long size;
    private boolean over;

    /**
     * @param withinNs what comes later is never taken
     * @param keep     whether the body is kept; else it is read past, and passes for empty
     * @param whole    gets the body, or null if it is too large
     * @param broken   runs instead if it never comes whole
     */
    BodyReader(Loop loop, HttpServerExchange exchange, long withinNs, boolean keep, Consumer<byte[]> whole,
               Runnable broken) {
        this.loop = loop;
        this.exchange = exchange;
        this.keep = keep;
        this.whole = whole;
        this.broken = broken;
        channel = exchange.getRequestChannel();
        late = loop.afterReading(withinNs, this::giveUp);
    }

    void read() {
        try (var pooled = loop.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    late.remove();
                    over = true;
                    whole.accept(size > MOST_BYTES ? null : body.toByteArray());
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(readable -> read());
                    channel.resumeReads();
                    return;
                }
                size += count;
                if (size > MOST_SKIPPED) {
                    giveUp();
                    return;
                }
                if (keep && size <= MOST_BYTES) {
                    buffer.flip();
                    while (buffer.hasRemaining()) {
                        body.write(buffer.get());
                    }
                }
            }
        } catch (IOException e) {
            giveUp();
        }
    }

    private void giveUp() {
        late.remove();
        if (!over) {
            over = true;
            broken.run();
        }
        IoUtils.safeClose(exchange.getConnection());
    }
}
