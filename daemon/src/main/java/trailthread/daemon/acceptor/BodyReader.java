package trailthread.daemon.acceptor;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
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
    private static final byte[] NONE = new byte[0];
    /** Of a body that does not tell its length. */
    private static final int FIRST_BYTES = 1024;
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
    private byte[] body = NONE;
    /** Room taken for it. */
    private long taken;
    private final long owedBy;
    private XnioExecutor.Key late;
    private long size;
    private Fault fault;
    private boolean over;

    /**
     * @param owedBy what has not come whole then must have come fast enough
     * @param keep   whether the body is kept; else it is read past, and passes for empty
     * @param room   what a long body takes; it is given back here if the body breaks
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
        return size > BodyRoom.SHORT_BYTES ? size : 0;
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
                if ((fault != null || !keep) && size > MOST_SKIPPED) {
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
        if (!keep || fault != null) {
            return;
        }
        if (size > body.length) {
            grow();
        }
        if (fault == null) {
            bytes.get(body, (int) size - bytes.remaining(), bytes.remaining());
        }
    }

    /** To the length told, or twofold; while a body moves, both its old place and its new one take room. */
    private void grow() {
        long told = exchange.getRequestContentLength();
        long next = told >= 0 ? told : Math.min(MOST_BYTES, Math.max(size, Math.max(2L * body.length, FIRST_BYTES)));
        long more = roomFor(next);
        if (!room.take(more)) {
            fail(Fault.NO_ROOM);
            return;
        }
        body = Arrays.copyOf(body, (int) next);
        room.give(taken);
        taken = more;
    }

    private void fail(Fault why) {
        if (fault == null) {
            room.give(taken);
            taken = 0;
            body = NONE;
            fault = why;
        }
    }

    /** The body; its room is the call's from now on. */
    private byte[] body() {
        byte[] whole = body;
        if (whole.length > size) {
            whole = Arrays.copyOf(body, (int) size);
            room.give(taken - roomFor(size));
        }
        body = NONE; // this is kept for as long as the exchange is
        return whole;
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
