package trailthread.daemon.listener;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;
import trailthread.engine.loop.EventLoop;

/**
 * What a client has sent ahead of an answer, past what a buffer of the pool holds: the next calls
 * on its connection are read from it. Out of the room that long bodies share.
 */
final class PipelinedBytes implements PooledByteBuffer {
    /** Of one connection no more is held: the rest waits in its socket. */
    private static final int MOST_BYTES = 256 * 1024;

    private final BodyMemoryLimit room;
    private ByteBuffer bytes;

    private PipelinedBytes(BodyMemoryLimit room, ByteBuffer bytes) {
        this.room = room;
        this.bytes = bytes;
    }

    /**
     * Whether the client has sent more than this request, and waits for what comes of that, too.
     * Guards calls that have come whole behind it: ended with its answer, the connection would lose
     * them. A loop that runs late has not read them, so the socket is read first, unless it still
     * holds the request's own body.
     */
    static boolean isBehind(HttpServerExchange exchange, BodyMemoryLimit room) {
        if (!(exchange.getConnection() instanceof AbstractServerConnection connection)) {
            return false;
        }
        if (exchange.isRequestComplete()) {
            try {
                read(connection, room);
            } catch (IOException e) {
                return false; // the answer will meet the same
            }
        }
        PooledByteBuffer kept = connection.getExtraBytes();
        return kept != null && kept.getBuffer().hasRemaining();
    }

    /**
     * Reads what is sent ahead, for the next calls; what finds no room stays in the socket.
     *
     * @return whether the client has not ended its sending, as far as that was read
     */
    static boolean read(AbstractServerConnection connection, BodyMemoryLimit room)
            throws IOException {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            ByteBuffer piece = pooled.getBuffer();
            int most = EventLoop.MOST_IN_TURN_BYTES;
            int count;
            do {
                int free = freeAhead(connection, room);
                if (free == 0) {
                    source.suspendReads();
                    return true;
                }
                piece.clear().limit(Math.min(piece.capacity(), free));
                count = source.read(piece);
                if (count > 0) {
                    keep(connection, piece.flip());
                }
                most -= count;
            } while (count > 0 && most > 0);
            return count >= 0;
        }
    }

    /** How much more may be kept. */
    private static int freeAhead(AbstractServerConnection connection, BodyMemoryLimit room) {
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept == null) {
            return Integer
                    .MAX_VALUE; // a buffer of the pool, which holds as much as is read in one go
        }
        int free = kept.getBuffer().capacity() - kept.getBuffer().remaining();
        PipelinedBytes larger = free > 0 ? null : twice(kept, room);
        if (larger == null) {
            return free;
        }
        connection.setExtraBytes(larger);
        return larger.bytes.capacity() - larger.bytes.remaining();
    }

    /** Behind what came so before: Undertow has some if it came along with the call. */
    private static void keep(AbstractServerConnection connection, ByteBuffer piece) {
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept == null) {
            kept = connection.getByteBufferPool().allocate();
            kept.getBuffer().limit(0);
            connection.setExtraBytes(kept);
        }
        kept.getBuffer().compact().put(piece).flip();
    }

    /** Twice the room for what is kept, which moves; null, and all stays, if there is none. */
    private static PipelinedBytes twice(PooledByteBuffer kept, BodyMemoryLimit room) {
        int capacity = 2 * kept.getBuffer().capacity();
        if (capacity > MOST_BYTES || !room.take(capacity)) {
            return null;
        }
        PipelinedBytes larger =
                new PipelinedBytes(
                        room, ByteBuffer.allocate(capacity).put(kept.getBuffer()).flip());
        kept.close();
        return larger;
    }

    @Override
    public ByteBuffer getBuffer() {
        return bytes;
    }

    @Override
    public boolean isOpen() {
        return bytes != null;
    }

    @Override
    public void close() {
        if (isOpen()) {
            room.give(bytes.capacity());
            bytes = null;
        }
    }
}
