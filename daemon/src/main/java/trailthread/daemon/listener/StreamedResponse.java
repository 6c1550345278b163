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
 * A long answer on its way to a client, piece by piece. What the client has not taken of one piece
 * is kept until it does, and no other is wanted meanwhile.
 */
final class StreamedResponse implements ByteSink {
    /** A client that takes nothing for so long loses the rest, and its connection. */
    private static final long TAKES_WITHIN_NS = 10_000_000_000L;

    private final EventLoop loop;
    private final HttpServerExchange exchange;
    private final StreamSinkChannel channel;
    private final Runnable more;
    private final Runnable gone;

    /** What the client has yet to take, or null. */
    private ByteBuffer left;

    private boolean ends;
    private boolean over;
    private XnioExecutor.Key look;

    /** Bytes that the client has taken, and how many these were when that was looked at last. */
    private long taken;

    private long takenBefore = -1;

    StreamedResponse(EventLoop loop, HttpServerExchange exchange, Runnable more, Runnable gone) {
        this.loop = loop;
        this.exchange = exchange;
        this.more = more;
        this.gone = gone;
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(writable -> write());
        look = loop.after(TAKES_WITHIN_NS, this::look);
    }

    @Override
    public boolean piece(ByteBuffer piece) {
        if (over) {
            return true; // the attempt hears of it in its turn
        }
        try {
            while (left == null && piece.hasRemaining()) {
                int count = channel.write(piece);
                taken += count;
                if (count == 0) {
                    left = ByteBuffer.allocate(0);
                    channel.resumeWrites();
                }
            }
            if (left != null) { // what was read in one go may bring several pieces
                left =
                        ByteBuffer.allocate(left.remaining() + piece.remaining())
                                .put(left)
                                .put(piece)
                                .flip();
                return false;
            }
        } catch (IOException e) {
            clientGone();
        }
        return true;
    }

    @Override
    public void end() {
        ends = true;
        if (!over && left == null) {
            finish();
        }
    }

    @Override
    public void broken() {
        if (!over) {
            over();
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void write() {
        if (over) {
            return;
        }
        try {
            while (left != null && left.hasRemaining()) {
                int count = channel.write(left);
                taken += count;
                if (count == 0) {
                    return;
                }
            }
            left = null;
            if (ends) {
                finish();
            } else {
                channel.suspendWrites();
                more.run();
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
                over();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException e) {
            clientGone();
        }
    }

    /** Not from within the attempt's own call, which the end of the attempt would enter again. */
    void clientGone() {
        if (over) {
            return;
        }
        over();
        left = null;
        IoUtils.safeClose(exchange.getConnection());
        if (!ends) {
            loop.execute(gone);
        }
    }

    private void over() {
        over = true;
        look.remove(); // it would keep the exchange
    }

    private void look() {
        if (over) {
            return;
        }
        boolean waits = left != null || ends;
        if (waits && taken == takenBefore) {
            clientGone();
            return;
        }
        takenBefore = waits ? taken : -1;
        look = loop.after(TAKES_WITHIN_NS, this::look);
    }
}
