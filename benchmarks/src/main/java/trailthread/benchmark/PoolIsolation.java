package trailthread.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Whether one pool feels another's overload: {@code sim.example.org} under a steady load, alone,
 * and while {@code marks.example.org} is offered a multiple of what its worker can do. Two pools in
 * one node on one core.
 */
public final class PoolIsolation {
    private static final Map<String, String> DEFAULTS =
            Map.of(
                    "rounds",
                    "2",
                    "seconds",
                    "30",
                    "warm-up",
                    "5",
                    "sim-rate",
                    "300",
                    "marks-times",
                    "4",
                    "cores",
                    "1,2,3");
    private static final int MARKS_SLOTS = 4;
    private static final int MARKS_MS = 20;

    /** Enough that none waits for its turn: what is not served is held for up to its aim. */
    private static final int MARKS_CONNECTIONS = 400;

    private static final int SIM_SLOTS = 16;
    private static final int SIM_MS = 5;
    private static final String FILE =
            """
            [node]
            listen = "127.0.0.1:0"
            descriptors = 1024
            [pools.sim]
            workers = ["127.0.0.1:%s", "127.0.0.1:%s"]
            aim = "300ms"
            deadline = "1.2s"
            [pools.marks]
            workers = ["127.0.0.1:%s"]
            aim = "300ms"
            deadline = "1.2s"
            [[routes]]
            name = "sim"
            host = "sim.example.org"
            pool = "sim"
            [[routes]]
            name = "marks"
            host = "marks.example.org"
            pool = "marks"
            """;

    private PoolIsolation() {}

    /** Runs it; the options are pairs of --name value. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Arguments options = new Arguments(DEFAULTS, args);
        int[] cores = options.list("cores");
        String classPath = System.getProperty("java.class.path");
        List<String> workers =
                new ArrayList<>(
                        List.of(
                                "java",
                                "-cp",
                                classPath,
                                ConcurrencyLimitedServers.class.getName()));
        for (int i = 0; i < 2; i++) {
            workers.addAll(List.of(Integer.toString(SIM_SLOTS), Integer.toString(SIM_MS), "0"));
        }
        workers.addAll(List.of(Integer.toString(MARKS_SLOTS), Integer.toString(MARKS_MS), "0"));
        System.out.printf(
                "%-8s %-6s %8s %8s %8s %8s %8s %8s %6s %5s%n",
                "phase",
                "who",
                "served/s",
                "p50 ms",
                "p99 ms",
                "p99.9",
                "refused",
                "failed",
                "late",
                "node%");
        try (ChildProcess fleet = new ChildProcess(cores[1], Map.of(), workers)) {
            Matcher ports = fleet.await(Pattern.compile("ports (\\d+) (\\d+) (\\d+)"), 20);
            for (int round = 0; round < options.whole("rounds"); round++) {
                for (boolean loaded : new boolean[] {false, true}) {
                    phase(
                            options,
                            String.format(FILE, ports.group(1), ports.group(2), ports.group(3)),
                            cores[0],
                            loaded);
                }
            }
        }
    }

    private static void phase(Arguments options, String toml, int core, boolean loaded)
            throws IOException, InterruptedException {
        Path file = Files.createTempFile("isolation", ".toml");
        try {
            Files.writeString(file, toml);
            String deploy = Files.readString(Path.of("deploy", "balancer.toml"));
            List<String> node =
                    NodeCommand.other(
                            deploy,
                            "daemon/target/trailthread.jar:command/target/trailthread-command.jar:command/target/lib/*",
                            "trailthread.command.Trailthread",
                            "serve",
                            file.toString());
            try (ChildProcess child = new ChildProcess(core, Map.of(), node)) {
                int port =
                        Integer.parseInt(
                                child.await(Pattern.compile("serves on .*:(\\d+)"), 20).group(1));
                long warmUp = options.whole("warm-up") * 1_000_000_000L;
                long time = options.whole("seconds") * 1_000_000_000L;
                OpenLoopLoad sim =
                        new OpenLoopLoad(
                                port, "sim.example.org", options.whole("sim-rate"), warmUp, time);
                OpenLoopLoad marks =
                        new OpenLoopLoad(
                                port,
                                "marks.example.org",
                                loaded
                                        ? options.whole("marks-times")
                                                * 1000.0
                                                * MARKS_SLOTS
                                                / MARKS_MS
                                        : 0.001,
                                warmUp,
                                time);
                double cpu = child.cpuSeconds();
                long begun = System.nanoTime();
                sim.begin(64);
                if (loaded) {
                    marks.begin(MARKS_CONNECTIONS).await();
                }
                sim.await();
                double share = (child.cpuSeconds() - cpu) / ((System.nanoTime() - begun) / 1e9);
                print(loaded ? "loaded" : "alone", "sim", sim, options.whole("seconds"), share);
                if (loaded) {
                    print("loaded", "marks", marks, options.whole("seconds"), share);
                }
            }
        } finally {
            Files.delete(file);
        }
    }

    private static void print(
            String phase, String who, OpenLoopLoad load, int seconds, double share) {
        System.out.printf(
                "%-8s %-6s %8.0f %8.2f %8.2f %8.2f %8d %8d %6d %5.0f%n",
                phase,
                who,
                load.served.getTotalCount() / (double) seconds,
                load.served.getValueAtPercentile(50) / 1e6,
                load.served.getValueAtPercentile(99) / 1e6,
                load.served.getValueAtPercentile(99.9) / 1e6,
                load.refused.get(),
                load.failed.get(),
                load.late.get(),
                100 * share);
    }
}
