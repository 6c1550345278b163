package trailthread.daemon.listener;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Collects a request's body in memory that is reserved from what long bodies share. */
final class BodyBuffer {
    static final byte[] EMPTY = new byte[0];

    /** First capacity for a body whose length is not known. */
    private static final int INITIAL_CAPACITY_BYTES = 1024;

    private final BodyMemoryLimit memory;

    /** The body's length as its client declares it, in bytes; -1 if it does not. */
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
     * @return false, with nothing appended, if the memory for them can't be reserved
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
     * Grows to the declared length, or to at least twice the capacity. While the content moves, its
     * old place and its new one are both reserved.
     */
    private boolean growTo(int leastBytes) {
        long capacity = declaredLength;
        if (declaredLength < 0) {
            long doubled = Math.max(2L * content.length, INITIAL_CAPACITY_BYTES);
            capacity = Math.min(BodyReader.MAX_BODY_BYTES, Math.max(leastBytes, doubled));
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

    /** Copies the content and these bytes, which did not fit, and releases the reservation. */
    ByteBuffer drainWith(ByteBuffer bytes) {
        ByteBuffer all =
                ByteBuffer.allocate(length + bytes.remaining())
                        .put(content, 0, length)
                        .put(bytes)
                        .flip();
        release();
        return all;
    }

    /**
     * The complete body. It is no longer referred to from here, and the caller is to release {@link
     * BodyMemoryLimit#reservationFor} its length.
     */
    byte[] take() {
        byte[] body = content;
        if (content.length > length) {
            body = Arrays.copyOf(content, length);
            memory.release(reservedBytes - BodyMemoryLimit.reservationFor(length));
        }
        content = EMPTY;
        reservedBytes = 0;
        return body;
    }

    /** Drops the content, and releases its reservation. */
    void release() {
        memory.release(reservedBytes);
        reservedBytes = 0;
        content = EMPTY;
        length = 0;
    }
}
