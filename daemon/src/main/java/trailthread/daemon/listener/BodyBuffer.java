package trailthread.daemon.listener;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Buffers a request's body in memory that is reserved from a {@link BodyMemoryLimit}. */
final class BodyBuffer {
    static final byte[] EMPTY = new byte[0];

    /** Initial capacity for a body of unknown length. */
    private static final int INITIAL_CAPACITY_BYTES = 1024;

    private final BodyMemoryLimit memory;

    /** The body's declared length in bytes; -1 if the client declares none. */
    private final long declaredLength;

    private byte[] content = EMPTY;
    private int length;
    private long reservedBytes;

    BodyBuffer(BodyMemoryLimit memory, long declaredLength) {
        this.memory = memory;
        this.declaredLength = declaredLength;
    }

    /**
     * Appends bytes.
     *
     * @return false, with nothing appended, if memory for them can't be reserved
     */
    boolean append(ByteBuffer bytes) {
        int count = bytes.remaining();
        if (length + count > content.length && !growTo(length + count)) {
            return false;
        }
        bytes.get(content, length, count);
        length += count;
        return true;
    }

    /**
     * Grows to the declared length, or to at least twice the capacity. Until the content is copied,
     * both the old and the new array are reserved.
     */
    private boolean growTo(int minBytes) {
        long capacity = declaredLength;
        if (declaredLength < 0) {
            long doubled = Math.max(2L * content.length, INITIAL_CAPACITY_BYTES);
            capacity = Math.min(BodyReader.MAX_BODY_BYTES, Math.max(minBytes, doubled));
        }
        long reservation = BodyMemoryLimit.reservationFor(capacity);
        if (!memory.tryReserve(reservation)) {
            return false;
        }
        content = Arrays.copyOf(content, (int) capacity);
        memory.release(reservedBytes);
        reservedBytes = reservation;
        return true;
    }

    /**
     * Returns a copy of the content followed by bytes that did not fit; releases the reservation.
     */
    ByteBuffer takeContentWith(ByteBuffer bytes) {
        ByteBuffer all =
                ByteBuffer.allocate(length + bytes.remaining())
                        .put(content, 0, length)
                        .put(bytes)
                        .flip();
        release();
        return all;
    }

    /**
     * Returns the complete body and keeps no reference to it. The caller must release {@link
     * BodyMemoryLimit#reservationFor} its length.
     */
    byte[] takeBody() {
        byte[] body = content;
        if (content.length > length) {
            body = Arrays.copyOf(content, length);
            memory.release(reservedBytes - BodyMemoryLimit.reservationFor(length));
        }
        content = EMPTY;
        reservedBytes = 0;
        return body;
    }

    /** Discards the content and releases its reservation. */
    void release() {
        memory.release(reservedBytes);
        reservedBytes = 0;
        content = EMPTY;
        length = 0;
    }
}
