package trailthread.engine.degradation;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * The fraction of time in which a thread was runnable but had no CPU, by the second field of
 * /proc/thread-self/schedstat, in nanoseconds (the kernel's Documentation/scheduler/sched-stats).
 * The file describes the thread that opens it; /proc/self/schedstat would describe the JVM's first
 * thread, which always waits. The kernel generates the file from memory, so a read does not block.
 */
final class CpuThrottling {
    /** The maximum size of the file. */
    private static final int MAX_BYTES = 128;

    /** Null if the file can't be opened. */
    private final FileChannel file;

    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);

    /** The thread's time on the run queue as of the last read, ns; -1: unknown. */
    private long lastWaitedNs = -1;

    private long lastReadAt;

    private CpuThrottling(FileChannel file) {
        this.file = file;
    }

    /** Opens the file of the calling thread, if it exists, and keeps its descriptor open. */
    static CpuThrottling open() {
        return open(Path.of("/proc/thread-self/schedstat"));
    }

    static CpuThrottling open(Path path) {
        try {
            return new CpuThrottling(FileChannel.open(path));
        } catch (IOException e) {
            return new CpuThrottling(null);
        }
    }

    /** Returns the fraction since the last call, 0 to 1; NaN if it is unknown. */
    double fractionSinceLastCall(long now) {
        long waitedNs = readWaitedNs();
        boolean known = waitedNs >= 0 && lastWaitedNs >= 0 && now > lastReadAt;
        double fraction = Double.NaN;
        if (known) {
            double measured = (double) (waitedNs - lastWaitedNs) / (now - lastReadAt);
            fraction = Math.min(1, Math.max(0, measured));
        }
        lastWaitedNs = waitedNs;
        lastReadAt = now;
        return fraction;
    }

    /** Reads the thread's time on the run queue, ns; -1: unknown. */
    private long readWaitedNs() {
        if (file == null) {
            return -1;
        }
        try {
            buffer.clear();
            int length = file.read(buffer, 0);
            String[] fields =
                    new String(buffer.array(), 0, Math.max(0, length), StandardCharsets.US_ASCII)
                            .split(" ");
            return fields.length > 1 ? Long.parseLong(fields[1]) : -1;
        } catch (IOException | NumberFormatException e) {
            return -1;
        }
    }
}
