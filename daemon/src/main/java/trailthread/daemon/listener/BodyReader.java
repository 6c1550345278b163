package trailthread.daemon.listener;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;
import trailthread.engine.http.ByteSink;
import trailthread.engine.http.ByteSource;
import trailthread.engine.loop.EventLoop;

/**
 * Reads a request's body to its end, so that whatever is answered then reaches the client. Guards
 * against Undertow's own drain of what is left unread: of a chunked body it closes the connection
 * unanswered.
 *
 * <p>A body that finds no room is not held: it is the source of itself from then on, and flows as
 * its sink takes it.
 */
final class BodyReader implements ByteSource {
    static final long MOST_BYTES = 32 * 1024 * 1024;

    /** Of a body that is not kept, so much is read past before the connection ends unanswered. */
    private static final long MOST_SKIPPED = 1024 * 1024;

    private static final byte[] NONE = new byte[0];

    /** Of a body that does not tell its length. */
    private static final int FIRST_BYTES = 1024;

    /**
     * A body that comes slower than this, in bytes a second, is given up; clients send 64 kB a
     * second or more.
     */
    private static final long LEAST_PACE = 48_000;

    private static final long PAUSE_LOOKED_AT_NS = 1_000_000_000L;

    private final EventLoop loop;
    private final HttpServerExchange exchange;
    private final StreamSourceChannel channel;
    private final boolean keep;
    private final BodyMemoryLimit room;
    private final Consumer<byte[]> whole;
    private final Runnable broken;
    private byte[] body = NONE;

    /** Room taken for it. */
    private long taken;

    private long owedBy;
    private XnioExecutor.Key late;
    private long size;

    /** The same before what came last. */
    private int before;

    private boolean tooLarge;
    private boolean over;

    /** Takes over what finds no room. */
    private final Consumer<BodyReader> passesOn;

    /** What has come before the body began to flow, then null. */
    private ByteBuffer held;

    private ByteSink sink;

    /** Since when nobody reads; 0: it is read. */
    private long pausedAt;

    private Runnable ended = () -> {};
    private Runnable gone;

    /**
     * @param owedBy what has not come whole then must have come fast enough
     * @param keep whether the body is kept; else it is read past, and passes for empty
     * @param room what a long body takes; it is given back here if the body breaks
     * @param whole gets the body, or null if it is too large
     * @param passes gets this instead where the body finds no room; {@link #passOn} follows
     * @param broken runs instead if it never comes whole
     */
    BodyReader(
            EventLoop loop,
            HttpServerExchange exchange,
            long owedBy,
            boolean keep,
            BodyMemoryLimit room,
            Consumer<byte[]> whole,
            Consumer<BodyReader> passes,
            Runnable broken) {
        this.loop = loop;
        this.exchange = exchange;
        this.owedBy = owedBy;
        this.keep = keep;
        this.room = room;
        this.whole = whole;
        passesOn = passes;
        this.broken = broken;
        channel = exchange.getRequestChannel();
        late = loop.afterReading(owedBy - loop.now(), this::late);
    }

    /**
     * The body has been taken over.
     *
     * @param whenEnded runs when its last byte has been given
     * @param clientGone runs instead if it never comes whole
     */
    void passOn(Runnable whenEnded, Runnable clientGone) {
        ended = whenEnded;
        gone = clientGone;
    }

    /** The longest that the body may yet take, by the pace that its client owes. */
    long longestNs() {
        long bytes = length() < 0 ? MOST_BYTES : length();
        return owedBy - loop.now() + 1_000_000_000L * bytes / LEAST_PACE;
    }

    /** Bytes of room that are taken for a body of this size. */
    static long roomFor(long size) {
        return size > BodyMemoryLimit.SHORT_BYTES ? size : 0;
    }

    /** Reads, and says first that it will where the client waits to be told (RFC 9110, 10.1.1). */
    void read() {
        if (!HttpContinue.requiresContinueResponse(exchange)) {
            readOn();
            return;
        }
        HttpContinue.sendContinueResponse(
                exchange,
                new IoCallback() {
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
            for (long had = 0; had < EventLoop.MOST_IN_TURN_BYTES; had += buffer.capacity()) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    late.remove();
                    over = true;
                    if (sink != null) {
                        end();
                        return;
                    }
                    whole.accept(tooLarge ? null : body());
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(readable -> readOn());
                    channel.resumeReads();
                    return;
                }
                buffer.flip();
                if (sink != null) {
                    size += count;
                    if (size > MOST_BYTES) {
                        giveUp();
                        return;
                    }
                    if (!sink.piece(buffer)) {
                        pause();
                        return;
                    }
                    if (over) {
                        return;
                    }
                    continue;
                }
                take(buffer);
                if (held != null) {
                    pause();
                    passesOn.accept(this);
                    return;
                }
                if ((tooLarge || !keep) && size > MOST_SKIPPED) {
                    giveUp();
                    return;
                }
            }
            goOnNextTurn();
        } catch (IOException e) {
            giveUp();
        }
    }

    /** What is left may lie in Undertow's buffers, where no socket tells of it. */
    private void goOnNextTurn() {
        channel.suspendReads();
        loop.afterSockets(
                () -> {
                    if (!over && pausedAt == 0) {
                        readOn();
                    }
                });
    }

    private void take(ByteBuffer bytes) {
        before = (int) size;
        size += bytes.remaining();
        if (size > MOST_BYTES && !tooLarge) {
            tooLarge = true;
            letGo();
        }
        if (!keep || tooLarge) {
            return;
        }
        if (size > body.length) {
            grow();
        }
        if (held != null) {
            held.put(bytes).flip();
        } else {
            bytes.get(body, (int) size - bytes.remaining(), bytes.remaining());
        }
    }

    /**
     * To the length told, or twofold; while a body moves, both its old place and its new one take
     * room.
     */
    private void grow() {
        long told = exchange.getRequestContentLength();
        long next =
                told >= 0
                        ? told
                        : Math.min(
                                MOST_BYTES,
                                Math.max(size, Math.max(2L * body.length, FIRST_BYTES)));
        long more = roomFor(next);
        if (!room.take(more)) {
            held = ByteBuffer.allocate((int) size).put(body, 0, before);
            letGo(); // what is held now is on its way, or given up
            return;
        }
        body = Arrays.copyOf(body, (int) next);
        room.give(taken);
        taken = more;
    }

    private void letGo() {
        room.give(taken);
        taken = 0;
        body = NONE;
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
    public boolean hasBegun() {
        return sink != null;
    }

    @Override
    public void flowTo(ByteSink to) {
        sink = to;
        ByteBuffer first = held;
        held = null;
        if (sink.piece(first)) {
            more();
        }
    }

    @Override
    public void more() {
        if (!over) {
            owedBy += loop.now() - pausedAt; // the client owes nothing while nobody reads
            pausedAt = 0;
            readOn();
        }
    }

    @Override
    public void stop() {
        late.remove();
        held = null;
        if (!over) {
            over = true;
            channel.suspendReads();
        }
    }

    private void end() {
        sink.end();
        ended.run();
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
        if (pausedAt > 0) {
            late = loop.afterReading(PAUSE_LOOKED_AT_NS, this::late);
        } else if (leftNs > 0) {
            late = loop.afterReading(leftNs, this::late);
        } else {
            giveUp();
        }
    }

    private void giveUp() {
        late.remove();
        if (!over) {
            over = true;
            letGo();
            broken.run();
            if (gone != null) {
                gone.run();
            }
        }
        IoUtils.safeClose(exchange.getConnection());
    }
}
