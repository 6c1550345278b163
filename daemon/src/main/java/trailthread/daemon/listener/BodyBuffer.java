package trailthread.daemon.listener;

import java.nio.ByteBuffer;
import java.util.Arrays;
import trailthread.engine.quota.MemoryReservation;

/** Buffers a request's body in memory that is reserved from the request's reservation. */
final class BodyBuffer {
    static final byte[] EMPTY = new byte[0];

    /** Initial capacity for a body of unknown length. */
    private static final int INITIAL_CAPACITY_BYTES = 1024;

    private final MemoryReservation memory;

    /** The body's declared length in bytes; -1 if the client declares none. */
    private final long declaredLength;

    private byte[] content = EMPTY;
    private int length;
    private long reservedBytes;

    /**
     * @param memory holds what {@link RequestMemory#reservedAtHead} names for the body
     */
    BodyBuffer(MemoryReservation memory, long declaredLength) {
        this.memory = memory;
        this.declaredLength = declaredLength;
        reservedBytes = RequestMemory.reservedAtHead(declaredLength);
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
        long missing = Math.max(0, capacity + content.length - reservedBytes);
        if (!memory.tryGrow(RequestMemory.useFor(capacity), missing)) {
            return false;
        }
        reservedBytes += missing;
        content = Arrays.copyOf(content, (int) capacity);
        shrinkReservation(capacity);
        return true;
    }

    private void shrinkReservation(long bytes) {
        memory.shrink(reservedBytes - bytes);
        reservedBytes = bytes;
    }

    /** Returns the buffered content, which stays reserved until {@link #release}. */
    ByteBuffer content() {
        return ByteBuffer.wrap(content, 0, length);
    }

    /** Returns the complete body and keeps no reference to it. Its length stays reserved. */
    byte[] takeBody() {
        byte[] body = content.length > length ? Arrays.copyOf(content, length) : content;
        shrinkReservation(length);
        content = EMPTY;
        reservedBytes = 0;
        return body;
    }

    /** Discards the content and releases its reservation. */
    void release() {
        shrinkReservation(0);
        content = EMPTY;
        length = 0;
    }
}
