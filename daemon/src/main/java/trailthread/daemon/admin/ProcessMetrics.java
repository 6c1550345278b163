package trailthread.daemon.admin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;

/**
 * The resources that the process uses; NaN where unknown. They are read from /proc (proc(5)) rather
 * than from the JVM's management classes, which would take megabytes of memory.
 */
record ProcessMetrics(
        double openDescriptors,
        double residentBytes,
        double cpuSeconds,
        double startSeconds,
        double heapUsedBytes,
        double heapCommittedBytes,
        double heapMaxBytes) {
    private static final Path STATUS = Path.of("/proc/self/status");
    private static final Path DESCRIPTORS = Path.of("/proc/self/fd");

    /** The line of {@link #STATUS} that states the resident memory in kB. */
    private static final String RESIDENT_LINE = "VmRSS:";

    private static final double BYTES_PER_KB = 1024;
    private static final double NS_PER_SECOND = 1e9;
    private static final double MS_PER_SECOND = 1e3;

    /** Reads the current values. This reads files, so it must not run on the loop's thread. */
    static ProcessMetrics read() {
        Runtime runtime = Runtime.getRuntime();
        ProcessHandle.Info info = ProcessHandle.current().info();
        return new ProcessMetrics(
                countOpenDescriptors(),
                readResidentBytes(),
                info.totalCpuDuration()
                        .map(Duration::toNanos)
                        .map(ns -> ns / NS_PER_SECOND)
                        .orElse(Double.NaN),
                info.startInstant()
                        .map(Instant::toEpochMilli)
                        .map(ms -> ms / MS_PER_SECOND)
                        .orElse(Double.NaN),
                runtime.totalMemory() - runtime.freeMemory(),
                runtime.totalMemory(),
                runtime.maxMemory());
    }

    private static double countOpenDescriptors() {
        String[] open = DESCRIPTORS.toFile().list();
        return open == null
                ? Double.NaN
                : open.length - 1; // one is open for reading the directory itself
    }

    private static double readResidentBytes() {
        try {
            for (String line : Files.readAllLines(STATUS)) {
                if (line.startsWith(RESIDENT_LINE)) {
                    String kilobytes = line.substring(RESIDENT_LINE.length()).replace("kB", "");
                    return BYTES_PER_KB * Double.parseDouble(kilobytes);
                }
            }
        } catch (IOException | NumberFormatException e) {
            return Double.NaN; // not available on this system
        }
        return Double.NaN;
    }
}
