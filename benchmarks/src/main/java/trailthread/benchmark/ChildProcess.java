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

/** A program started by a benchmark, pinned to a core if one is given; {@link #close} kills it. */
final class ChildProcess implements AutoCloseable {
    private static final String END_OF_OUTPUT = "(end)";

    private final List<String> command;
    private final Process process;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final List<String> output = new ArrayList<>();

    /**
     * @param core negative: not pinned
     * @param environment variables added to the environment of this process
     */
    ChildProcess(int core, Map<String, String> environment, List<String> command)
            throws IOException {
        this.command = command;
        List<String> pinnedCommand = new ArrayList<>();
        if (core >= 0) {
            pinnedCommand.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        pinnedCommand.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(pinnedCommand).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        BufferedReader reader = process.inputReader(StandardCharsets.UTF_8);
        Thread outputReader =
                new Thread(
                        () -> {
                            reader.lines().forEach(lines::add);
                            lines.add(END_OF_OUTPUT);
                        });
        outputReader.setDaemon(true);
        outputReader.start();
    }

    /** Whether taskset can pin a program to this core. */
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
     * Waits for an output line that matches and returns the match; skips the lines before it.
     *
     * @throws IOException if the program ends or the time is over without a match; the message
     *     contains the output so far
     */
    Matcher await(Pattern pattern, long seconds) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (true) {
            String line = lines.poll(deadlineNs - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (line == null || line.equals(END_OF_OUTPUT)) {
                throw new IOException(
                        "no line matches '"
                                + pattern
                                + "' in the output of "
                                + command
                                + ":\n"
                                + String.join("\n", output));
            }
            output.add(line);
            Matcher matcher = pattern.matcher(line);
            if (matcher.find()) {
                return matcher;
            }
        }
    }

    /** CPU time used so far; NaN where the system does not report it. */
    double cpuSeconds() {
        return CpuTime.processSeconds(process.pid());
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
