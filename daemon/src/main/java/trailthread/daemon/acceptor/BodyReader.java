package trailthread.daemon.acceptor;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;
import trailthread.engine.loop.Loop;

/**
 * Reads a request's body to its end, so that whatever is answered then reaches the client. Guards against
 * Undertow's own drain of what is left unread: of a chunked body it closes the connection unanswered.
 */
final class BodyReader {
    static final long MOST_BYTES = 32 * 1024 * 1024;
    /** Of a body that is not kept, so much is read past before the connection ends unanswered. */
    private static final long MOST_SKIPPED = 1024 * 1024;
    /** A body that comes slower than this, in bytes a second, is given up; clients send 64 kB a second or more. */
    private static final long LEAST_PACE = 48_000;

    /** Why a body did not come as it should. */
    enum Fault { TOO_LARGE, NO_ROOM }

    private final Loop loop;
    private final HttpServerExchange exchange;
    private final StreamSourceChannel channel;
    private final boolean keep;
    private final BodyRoom room;
    private final BiConsumer<byte[], Fault> whole;
    private final Runnable broken;
    /** What has come, in blocks that are full but for the last. */
    private final List<byte[]> blocks = new ArrayList<>();
    private int inLast;
    private final long owedBy;
    private XnioExecutor.Key late;
    private long size;
    private Fault fault;
    private boolean over;

    /**
     * @param owedBy what has not come whole then must have come fast enough
     * @param keep   whether the body is kept; else it is read past, and passes for empty
     * @param room   what blocks past the first are taken from; they are given back when this is over, if it breaks
     * @param whole  gets the body, and why it is none, or null
     * @param broken runs instead if it never comes whole
     */
    BodyReader(Loop loop, HttpServerExchange exchange, long owedBy, boolean keep, BodyRoom room,
               BiConsumer<byte[], Fault> whole, Runnable broken) {
        this.loop = loop;
        this.exchange = exchange;
        this.owedBy = owedBy;
        this.keep = keep;
        this.room = room;
        this.whole = whole;
        this.broken = broken;
        channel = exchange.getRequestChannel();
        late = loop.afterReading(owedBy - loop.now(), this::late);
    }

    /** Bytes of room that are taken for a body of this size. */
    static long roomFor(long size) {
        return Math.max(0, (size - 1) / BodyRoom.BLOCK_BYTES) * BodyRoom.BLOCK_BYTES;
    }

    /** Reads, and says first that it will where the client waits to be told (RFC 9110, 10.1.1). */
    void read() {
        if (!HttpContinue.requiresContinueResponse(exchange)) {
            readOn();
            return;
        }
        HttpContinue.sendContinueResponse(exchange, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange told, Sender sender) {
                readOn();
            }

            @Override
            public void onException(HttpServerExchange told, Sender sender, IOException e) {
                giveUp();
            }
        });
    }

    private void readOn() {
        try (var pooled = loop.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    late.remove();
                    over = true;
                    whole.accept(fault == null ? body() : null, fault);
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(readable -> readOn());
                    channel.resumeReads();
                    return;
                }
                buffer.flip();
                take(buffer);
                if (fault != null && size > MOST_SKIPPED) {
                    giveUp();
                    return;
                }
            }
        } catch (IOException e) {
            giveUp();
        }
    }

    private void take(ByteBuffer bytes) {
        size += bytes.remaining();
        if (size > MOST_BYTES) {
            fail(Fault.TOO_LARGE);
        }
        while (keep && fault == null && bytes.hasRemaining()) {
            if (blocks.isEmpty() || inLast == BodyRoom.BLOCK_BYTES) {
                if (!blocks.isEmpty() && !room.take(BodyRoom.BLOCK_BYTES)) {
                    fail(Fault.NO_ROOM);
                    return;
                }
                long told = exchange.getRequestContentLength();
                boolean first = blocks.isEmpty();
                blocks.add(new byte[first && told >= 0 && told < BodyRoom.BLOCK_BYTES ? (int) told
                        : BodyRoom.BLOCK_BYTES]);
                inLast = 0;
            }
            byte[] last = blocks.get(blocks.size() - 1);
            int count = Math.min(bytes.remaining(), last.length - inLast);
            bytes.get(last, inLast, count);
            inLast += count;
        }
    }

    private void fail(Fault why) {
        if (fault == null) {
            room.give(taken());
            blocks.clear();
            fault = why;
        }
    }

    private long taken() {
        return Math.max(0, blocks.size() - 1) * (long) BodyRoom.BLOCK_BYTES;
    }

    private byte[] body() {
        if (blocks.size() == 1 && inLast == blocks.get(0).length) {
            return blocks.get(0);
        }
        byte[] body = new byte[blocks.isEmpty() ? 0 : (blocks.size() - 1) * BodyRoom.BLOCK_BYTES + inLast];
        for (int i = 0; i < blocks.size(); i++) {
            int at = i * BodyRoom.BLOCK_BYTES;
            System.arraycopy(blocks.get(i), 0, body, at, Math.min(BodyRoom.BLOCK_BYTES, body.length - at));
        }
        return body;
    }

    /** Its time is over, but for what its pace has earned it. */
    private void late() {
        long leftNs = owedBy + 1_000_000_000L * size / LEAST_PACE - loop.now();
        if (leftNs > 0) {
            late = loop.afterReading(leftNs, this::late);
        } else {
            giveUp();
        }
    }

    private void giveUp() {
        late.remove();
        if (!over) {
            over = true;
            fail(Fault.NO_ROOM); // gives back what was taken
            broken.run();
        }
        IoUtils.safeClose(exchange.getConnection());
    }
}
