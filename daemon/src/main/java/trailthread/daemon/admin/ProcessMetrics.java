package trailthread.daemon.admin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;

/**
 * What the process holds, as the kernel tells it; NaN where it does not. Read from /proc (proc(5)),
 * as the virtual machine's own management classes cost megabytes.
 */
record ProcessMetrics(
        double openDescriptors,
        double residentBytes,
        double cpuSeconds,
        double startSeconds,
        double heapUsedBytes,
        double heapCommittedBytes,
        double heapMostBytes) {
    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String RESIDENT = "VmRSS:";

    /** Reads files: not for the loop's thread. */
    static ProcessMetrics read() {
        Runtime runtime = Runtime.getRuntime();
        ProcessHandle.Info info = ProcessHandle.current().info();
        String[] open = Path.of("/proc/self/fd").toFile().list();
        return new ProcessMetrics(
                open == null ? Double.NaN : open.length - 1, // one is there to read the list
                resident(),
                info.totalCpuDuration()
                        .map(Duration::toNanos)
                        .map(ns -> ns / 1e9)
                        .orElse(Double.NaN),
                info.startInstant()
                        .map(Instant::toEpochMilli)
                        .map(ms -> ms / 1e3)
                        .orElse(Double.NaN),
                runtime.totalMemory() - runtime.freeMemory(),
                runtime.totalMemory(),
                runtime.maxMemory());
    }

    private static double resident() {
        try {
            for (String line : Files.readAllLines(STATUS)) {
                if (line.startsWith(RESIDENT)) {
                    return 1024
                            * Double.parseDouble(
                                    line.substring(RESIDENT.length()).replace("kB", ""));
                }
            }
        } catch (IOException | NumberFormatException e) {
            // not told here
        }
        return Double.NaN;
    }
}
