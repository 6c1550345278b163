package trailthread.benchmark;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A program started for the benchmark, pinned to a core if one is given; closing ends it at once.
 */
final class ChildProcess implements AutoCloseable {
    private static final String END = "(end)";

    private final List<String> command;
    private final Process process;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final List<String> said = new ArrayList<>();

    /**
     * @param core or a negative number: any
     * @param environment what is set besides that of this program
     */
    ChildProcess(int core, Map<String, String> environment, List<String> command)
            throws IOException {
        this.command = command;
        List<String> words = new ArrayList<>();
        if (core >= 0) {
            words.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        words.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        BufferedReader reader = process.inputReader(StandardCharsets.UTF_8);
        Thread drain =
                new Thread(
                        () -> {
                            reader.lines().forEach(lines::add);
                            lines.add(END);
                        });
        drain.setDaemon(true);
        drain.start();
    }

    /** Whether a program can be pinned to this core here. */
    static boolean canPin(int core) throws InterruptedException {
        try {
            return new ProcessBuilder("taskset", "-c", Integer.toString(core), "true")
                            .start()
                            .waitFor()
                    == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * The first match in the next lines that it prints.
     *
     * @throws IOException if it ends without, or does not print it in time; with all that it said
     */
    Matcher await(Pattern pattern, long seconds) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (true) {
            String line = lines.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (line == null || line.equals(END)) {
                throw new IOException(
                        "no '"
                                + pattern
                                + "' from "
                                + command
                                + ", which said:\n"
                                + String.join("\n", said));
            }
            said.add(line);
            Matcher matcher = pattern.matcher(line);
            if (matcher.find()) {
                return matcher;
            }
        }
    }

    /** Its CPU time so far, in seconds; no number where the system does not tell. */
    double cpuSeconds() {
        return CpuTime.ofProcess(process.pid());
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
