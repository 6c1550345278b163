package trailthread.daemon.listener;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.quota.MemoryBudget;
import trailthread.engine.quota.MemoryBudget.Use;
import trailthread.engine.quota.MemoryReservation;

/**
 * Buffer for bytes that a client has pipelined behind a request in flight, when they exceed a
 * pooled buffer. Undertow reads the next requests on the connection from it. Its memory is reserved
 * from the budget of all messages.
 */
final class PipelinedBytes implements PooledByteBuffer {
    /** What a read has found on the connection. */
    enum ReadResult {
        /** The client has closed its side. */
        CLOSED,
        /** All that has arrived was read, and the client is still connected. */
        ALL_READ,
        /**
         * Bytes may be left in this socket or the client's, and the end of the connection behind
         * them.
         */
        MORE_TO_READ
    }

    /** The maximum buffered for one connection; further bytes stay in its socket. */
    private static final int MAX_BYTES = 8 * 1024 * 1024;

    /**
     * With fewer bytes unread, TCP lets the client's socket send all it has, the end of the
     * connection included.
     */
    private static final int MIN_WINDOW_BYTES = 32 * 1024;

    private final MemoryReservation memory;

    /** Null once closed. */
    private ByteBuffer bytes;

    private PipelinedBytes(MemoryReservation memory, ByteBuffer bytes) {
        this.memory = memory;
        this.bytes = bytes;
    }

    /**
     * Whether the client has pipelined bytes behind this request, and so expects further responses.
     * If the connection ended with this request's response, complete requests behind it would be
     * lost. A late loop may not have read them yet, so this reads the socket first, unless it still
     * holds the request's own body.
     */
    static boolean hasPipelined(HttpServerExchange exchange, MemoryBudget memory) {
        if (!(exchange.getConnection() instanceof AbstractServerConnection connection)) {
            return false;
        }
        if (exchange.isRequestComplete()) {
            try {
                read(connection, memory, EventLoop.MAX_BYTES_PER_PASS);
            } catch (IOException e) {
                return false; // writing the response will fail, too
            }
        }
        return !isEmpty(exchange);
    }

    /** Returns whether no bytes behind the request have been read and kept. */
    static boolean isEmpty(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof AbstractServerConnection connection)) {
            return true;
        }
        PooledByteBuffer kept = connection.getExtraBytes();
        return kept == null || !kept.getBuffer().hasRemaining();
    }

    /**
     * Reads pipelined bytes and keeps them for the next requests. Bytes for which there is no
     * memory stay in the socket.
     *
     * @param limitBytes no further piece is read once this many bytes were read
     * @throws IOException if the connection is broken
     */
    static ReadResult read(AbstractServerConnection connection, MemoryBudget memory, int limitBytes)
            throws IOException {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            ByteBuffer piece = pooled.getBuffer();
            int readBytes = 0;
            while (readBytes < limitBytes) {
                int free = freeBytes(connection, memory);
                if (free == 0) {
                    source.suspendReads();
                    return ReadResult.MORE_TO_READ;
                }
                piece.clear().limit(Math.min(piece.capacity(), free));
                int count = source.read(piece);
                if (count < 0) {
                    return ReadResult.CLOSED;
                }
                if (count == 0) {
                    boolean windowWasFull = readBytes >= MIN_WINDOW_BYTES;
                    return windowWasFull ? ReadResult.MORE_TO_READ : ReadResult.ALL_READ;
                }
                keep(connection, piece.flip());
                readBytes += count;
            }
            return ReadResult.MORE_TO_READ;
        }
    }

    /** Returns how many more bytes can be kept; enlarges the buffer if it is full. */
    private static int freeBytes(AbstractServerConnection connection, MemoryBudget memory) {
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept == null) {
            return Integer.MAX_VALUE; // a new pooled buffer holds all that one read returns
        }
        int free = makeRoom(kept.getBuffer());
        if (free > 0) {
            return free;
        }
        PipelinedBytes larger = moveToDoubled(kept, memory);
        if (larger == null) {
            return 0;
        }
        connection.setExtraBytes(larger);
        return makeRoom(larger.getBuffer());
    }

    /**
     * Returns how many bytes can be appended. Moves the bytes to the start of the buffer only if at
     * least as many have been consumed, so that each byte is moved once at most on average.
     */
    static int makeRoom(ByteBuffer bytes) {
        boolean isFull = bytes.limit() == bytes.capacity();
        if (isFull && bytes.position() >= bytes.remaining()) {
            bytes.compact().flip();
        }
        return bytes.capacity() - bytes.limit();
    }

    /**
     * Appends to the kept bytes. Undertow has kept those that arrived together with the request.
     */
    private static void keep(AbstractServerConnection connection, ByteBuffer piece) {
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept == null) {
            kept = connection.getByteBufferPool().allocate();
            kept.getBuffer().limit(0);
            connection.setExtraBytes(kept);
        }
        append(kept.getBuffer(), piece);
    }

    /** Appends a piece for which there is {@linkplain #makeRoom room}. */
    static void append(ByteBuffer bytes, ByteBuffer piece) {
        int start = bytes.position();
        int end = bytes.limit();
        bytes.limit(end + piece.remaining()).position(end);
        bytes.put(piece).position(start);
    }

    /**
     * Moves the bytes to a buffer of twice the size. Returns null, with nothing moved, if that
     * exceeds a limit.
     */
    private static PipelinedBytes moveToDoubled(PooledByteBuffer kept, MemoryBudget memory) {
        int capacity = 2 * kept.getBuffer().capacity();
        MemoryReservation reservation = memory.newReservation();
        if (capacity > MAX_BYTES || !reservation.tryGrow(Use.OPTIONAL, capacity)) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.allocate(capacity).put(kept.getBuffer()).flip();
        kept.close();
        return new PipelinedBytes(reservation, bytes);
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
            memory.release();
            bytes = null;
        }
    }
}
