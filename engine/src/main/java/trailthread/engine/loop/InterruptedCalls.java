package trailthread.engine.loop;

import java.io.IOException;

/**
 * Repeats reads and writes that a signal has interrupted (EINTR). Java's channels return -3 for
 * these, beyond what their documentation allows: it would pass for the end of the stream, or for
 * bytes that were taken back. With this, a result is a count of bytes, 0 for nothing now, or -1 for
 * the end of the stream.
 */
public final class InterruptedCalls {
    /** A read or a write. */
    public interface Transfer {
        /** Transfers bytes, and returns the channel's result. */
        long run() throws IOException;
    }

    private static final int END_OF_STREAM = -1;

    /** Prevents a channel that is always interrupted from holding the loop. */
    private static final int MAX_REPEATS = 100;

    private InterruptedCalls() {}

    /**
     * Runs a transfer until it is not interrupted.
     *
     * @return the number of bytes; 0 also if the transfer was interrupted too often, so that it is
     *     to be run again when the channel is ready; -1 at the end of the stream
     */
    public static long repeat(Transfer transfer) throws IOException {
        for (int i = 0; i < MAX_REPEATS; i++) {
            long count = transfer.run();
            if (count >= END_OF_STREAM) {
                return count;
            }
        }
        return 0;
    }
}
