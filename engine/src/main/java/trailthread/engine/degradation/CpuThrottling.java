package trailthread.engine.degradation;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * For which share of the time the thread that reads this could run and was not let, by the second
 * figure of /proc/thread-self/schedstat, nanoseconds (the kernel's
 * Documentation/scheduler/sched-stats). Of the thread that opens it, as /proc/self tells only of
 * the one that started the virtual machine, which waits for good. The kernel makes the file from
 * memory: a read of it waits for no disk.
 */
final class CpuThrottling {
    private static final int MOST_BYTES = 128;

    private final FileChannel file;
    private final ByteBuffer buffer = ByteBuffer.allocate(MOST_BYTES);
    private long lastWaited = -1;
    private long lastAt;

    private CpuThrottling(FileChannel file) {
        this.file = file;
    }

    /** Of the calling thread; it holds a descriptor from now on, where there is such a file. */
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

    /** The share since it was last asked, 0 to 1; NaN where that is not known. */
    double share(long now) {
        long waited = waited();
        boolean known = waited >= 0 && lastWaited >= 0 && now > lastAt;
        double share = known ? (double) (waited - lastWaited) / (now - lastAt) : Double.NaN;
        lastWaited = waited;
        lastAt = now;
        return Double.isNaN(share) ? share : Math.min(1, Math.max(0, share));
    }

    private long waited() {
        if (file == null) {
            return -1;
        }
        try {
            buffer.clear();
            int length = file.read(buffer, 0);
            String[] figures =
                    new String(buffer.array(), 0, Math.max(0, length), StandardCharsets.US_ASCII)
                            .split(" ");
            return figures.length > 1 ? Long.parseLong(figures[1]) : -1;
        } catch (IOException | NumberFormatException e) {
            return -1;
        }
    }
}
