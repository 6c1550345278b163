package trailthread.daemon.listener;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.ByteBuffer;
import org.junit.Test;

/** The buffer of pipelined bytes, when it is full and requests are taken from its start. */
public class PipelinedBytesTest {
    private static final int CAPACITY = 1024 * 1024;
    private static final int REQUEST_BYTES = 170;
    private static final int PIECE_BYTES = 16 * 1024;
    private static final int REQUESTS = 100_000;

    private long movedBytes;
    private long appendedBytes;

    /** Appends a piece as large as there is room for, whose bytes count on. */
    private void fill(ByteBuffer bytes) {
        int before = bytes.position();
        int held = bytes.remaining();
        int room = Math.min(PIECE_BYTES, PipelinedBytes.makeRoom(bytes));
        movedBytes += bytes.position() == before ? 0 : held;
        ByteBuffer piece = ByteBuffer.allocate(room);
        for (int i = 0; i < room; i++) {
            piece.put((byte) appendedBytes++);
        }
        PipelinedBytes.append(bytes, piece.flip());
    }

    /** Guards against moving a full buffer for each request that is taken from it. */
    @Test
    public void aFullBufferIsNotMovedForEachRequest() {
        ByteBuffer bytes = ByteBuffer.allocate(CAPACITY).limit(0);
        long taken = 0;
        for (int i = 0; i < REQUESTS; i++) {
            fill(bytes);
            for (int j = 0; j < REQUEST_BYTES; j++) {
                assertEquals((byte) taken++, bytes.get());
            }
        }
        assertTrue("moved: " + movedBytes, movedBytes <= appendedBytes);
    }
}
