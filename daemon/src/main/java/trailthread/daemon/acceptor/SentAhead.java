package trailthread.daemon.acceptor;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;

/**
 * What a client has sent ahead of an answer, past what a buffer of the pool holds: the next calls on its connection are
 * read from it. Out of the room that long bodies share.
 */
final class SentAhead implements PooledByteBuffer {
    /** Of one connection no more is held: the rest waits in its socket. */
    private static final int MOST_BYTES = 256 * 1024;

    private final BodyRoom room;
    private ByteBuffer bytes;

    private SentAhead(BodyRoom room, ByteBuffer bytes) {
        this.room = room;
        this.bytes = bytes;
    }

    /**
     * Whether the client has sent more than this request, and waits for what comes of that, too. Guards calls that have
     * come whole behind it: ended with its answer, the connection would lose them.
     */
    static boolean isBehind(HttpServerExchange exchange) {
        PooledByteBuffer kept = exchange.getConnection() instanceof AbstractServerConnection connection
                ? connection.getExtraBytes() : null;
        return kept != null && kept.getBuffer().hasRemaining();
    }

    /** Twice the room for what is kept, which moves; null, and all stays, if there is none. */
    static SentAhead twice(PooledByteBuffer kept, BodyRoom room) {
        int capacity = 2 * kept.getBuffer().capacity();
        if (capacity > MOST_BYTES || !room.take(capacity)) {
            return null;
        }
        SentAhead larger = new SentAhead(room, ByteBuffer.allocate(capacity).put(kept.getBuffer()).flip());
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
