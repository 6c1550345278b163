package trailthread.testkit;

import java.io.BufferedReader;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Collects what a process writes. */
final class ProcessOutput {
    private ProcessOutput() {}

    /** Adds each line that the process writes to a list, on a thread of its own. */
    static void collect(Process process, List<String> lines) {
        BufferedReader reader = process.inputReader(StandardCharsets.UTF_8);
        Thread collector = new Thread(() -> reader.lines().forEach(lines::add));
        collector.setDaemon(true);
        collector.start();
    }
}
