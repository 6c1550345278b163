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
 * Measures whether overload of one pool affects another pool of the same node, which runs on one
 * core: {@code sim.example.org} gets a steady load, first alone, then while {@code
 * marks.example.org} is offered a multiple of its server's capacity.
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
    private static final int MARKS_CONCURRENCY = 4;
    private static final int MARKS_SERVICE_MS = 20;

    /**
     * Enough connections that no request waits for a free one while the node holds requests for up
     * to their latency objective.
     */
    private static final int MARKS_CONNECTIONS = 400;

    private static final int SIM_CONCURRENCY = 16;
    private static final int SIM_SERVICE_MS = 5;
    private static final String NODE_TOML =
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

    /** Options are pairs of {@code --name value}; see {@link #DEFAULTS}. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Arguments options = new Arguments(DEFAULTS, args);
        int[] cores = options.integers("cores");
        String classPath = System.getProperty("java.class.path");
        List<String> serverCommand =
                new ArrayList<>(
                        List.of(
                                "java",
                                "-cp",
                                classPath,
                                ConcurrencyLimitedServers.class.getName()));
        for (int i = 0; i < 2; i++) {
            serverCommand.addAll(
                    List.of(
                            Integer.toString(SIM_CONCURRENCY),
                            Integer.toString(SIM_SERVICE_MS),
                            "0"));
        }
        serverCommand.addAll(
                List.of(
                        Integer.toString(MARKS_CONCURRENCY),
                        Integer.toString(MARKS_SERVICE_MS),
                        "0"));
        System.out.printf(
                "%-8s %-6s %8s %8s %8s %8s %8s %8s %6s %5s%n",
                "phase",
                "pool",
                "served/s",
                "p50 ms",
                "p99 ms",
                "p99.9",
                "refused",
                "failed",
                "late",
                "node%");
        try (ChildProcess servers = new ChildProcess(cores[1], Map.of(), serverCommand)) {
            Matcher ports = servers.await(Pattern.compile("ports (\\d+) (\\d+) (\\d+)"), 20);
            for (int round = 0; round < options.integer("rounds"); round++) {
                for (boolean loaded : new boolean[] {false, true}) {
                    measurePhase(
                            options,
                            String.format(
                                    NODE_TOML, ports.group(1), ports.group(2), ports.group(3)),
                            cores[0],
                            loaded);
                }
            }
        }
    }

    private static void measurePhase(Arguments options, String nodeToml, int core, boolean loaded)
            throws IOException, InterruptedException {
        Path file = Files.createTempFile("isolation", ".toml");
        try {
            Files.writeString(file, nodeToml);
            String deployToml = Files.readString(Path.of("deploy", "balancer.toml"));
            List<String> nodeCommand =
                    NodeCommand.forProgram(
                            deployToml,
                            "daemon/target/trailthread.jar:command/target/trailthread-command.jar:command/target/lib/*",
                            "trailthread.command.Trailthread",
                            "serve",
                            file.toString());
            try (ChildProcess node = new ChildProcess(core, Map.of(), nodeCommand)) {
                int port =
                        Integer.parseInt(
                                node.await(Pattern.compile("serves on .*:(\\d+)"), 20).group(1));
                long warmUpNs = options.integer("warm-up") * 1_000_000_000L;
                long measuredNs = options.integer("seconds") * 1_000_000_000L;
                OpenLoopLoad sim =
                        new OpenLoopLoad(
                                port,
                                "sim.example.org",
                                options.integer("sim-rate"),
                                warmUpNs,
                                measuredNs);
                OpenLoopLoad marks =
                        new OpenLoopLoad(
                                port,
                                "marks.example.org",
                                loaded
                                        ? options.integer("marks-times")
                                                * 1000.0
                                                * MARKS_CONCURRENCY
                                                / MARKS_SERVICE_MS
                                        : 0.001,
                                warmUpNs,
                                measuredNs);
                double cpuSeconds = node.cpuSeconds();
                long startNs = System.nanoTime();
                sim.start(64);
                if (loaded) {
                    marks.start(MARKS_CONNECTIONS).await();
                }
                sim.await();
                double cpuShare =
                        (node.cpuSeconds() - cpuSeconds) / ((System.nanoTime() - startNs) / 1e9);
                print(
                        loaded ? "loaded" : "alone",
                        "sim",
                        sim,
                        options.integer("seconds"),
                        cpuShare);
                if (loaded) {
                    print("loaded", "marks", marks, options.integer("seconds"), cpuShare);
                }
            }
        } finally {
            Files.delete(file);
        }
    }

    private static void print(
            String phase, String pool, OpenLoopLoad load, int seconds, double cpuShare) {
        System.out.printf(
                "%-8s %-6s %8.0f %8.2f %8.2f %8.2f %8d %8d %6d %5.0f%n",
                phase,
                pool,
                load.served.getTotalCount() / (double) seconds,
                load.served.getValueAtPercentile(50) / 1e6,
                load.served.getValueAtPercentile(99) / 1e6,
                load.served.getValueAtPercentile(99.9) / 1e6,
                load.refused.get(),
                load.failed.get(),
                load.late.get(),
                100 * cpuShare);
    }
}
