package trailthread.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Compares the node with Undertow's proxy in front of the same servers. Measures both alternately;
 * each measurement starts a new process, warms it up, measures requests and kills the process. Run
 * from the root of the repository after a build; see docs/benchmarks.md.
 */
public final class ProxyComparison {
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
    private static final Path CONFIG_FILE = Path.of("benchmarks", "target", "benchmark.json");
    private static final Pattern SERVES_LINE = Pattern.compile("serves? on .*?([0-9,]+)$");
    private static final Pattern MEASURING_LINE = Pattern.compile("^measuring$");
    private static final Pattern MEASURED_LINE = Pattern.compile("^measured$");
    private static final Pattern RESULT_LINE = Pattern.compile("^turn .*$");
    private static final long START_TIMEOUT_S = 30;
    private static final int USAGE_ERROR = 2;

    private static final String NODE_JSON =
            """
            {"name":"bench","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"%x",
             "limits":{"sockets":1024},
             "known":{"generation":0,"reset":true,"instances":[%s]},
             "settings":{
              "categories":[{"name":"bench-state","aim_ns":300000000,"deadline_ns":1200000000,
               "semantics":"retryable"}],
              "zone":"a","discovery":"on_request","report":{"how":"piggyback","fields":["inflight","queue"]},
              "limits":{"retry_after":true,"max_retry_after_ns":1200000000,"dial_timeout_ns":100000000}}}
            """;
    private static final String INSTANCE_JSON =
            """
            {"instanceId":"s-%d","hostPort":"127.0.0.1:%s","zone":"a","cell":0,"lifecycle":"active",
             "weight":1.0,"startedAtMs":0}""";

    private final Arguments arguments;
    private final String deployToml;
    private final int[] cores;
    private final ChildProcess servers;
    private final String serverPorts;

    private ProxyComparison(Arguments arguments) throws IOException, InterruptedException {
        this.arguments = arguments;
        deployToml = Files.readString(DEPLOY_FILE);
        cores = cores(arguments.text("cores"));
        servers =
                new ChildProcess(
                        cores[1],
                        Map.of(),
                        benchmarkCommand(
                                "trailthread.benchmark.StubServers",
                                "--delays",
                                arguments.text("delays")));
        serverPorts = servers.await(SERVES_LINE, START_TIMEOUT_S).group(1);
    }

    /**
     * Runs the comparison and prints its table.
     *
     * @param args {@code --connections}, {@code --rounds}, {@code --seconds} and {@code --warm-up}
     *     (s) of a measurement, {@code --delays} of the servers (ms), {@code --cores} of the
     *     program under test, the servers and the load generator, or {@code none}
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () ->
                                        ProcessHandle.current()
                                                .children()
                                                .forEach(ProcessHandle::destroyForcibly)));
        try {
            new ProxyComparison(
                            new Arguments(
                                    Map.of(
                                            "connections",
                                            "16,64,256",
                                            "rounds",
                                            "3",
                                            "seconds",
                                            "5",
                                            "warm-up",
                                            "3",
                                            "delays",
                                            "0,0,0,0",
                                            "cores",
                                            "1,2,3"),
                                    args))
                    .run();
        } catch (IllegalArgumentException e) {
            System.err.println("benchmark: " + e.getMessage());
            System.exit(USAGE_ERROR);
        }
    }

    private static int[] cores(String text) throws InterruptedException {
        int[] none = {-1, -1, -1};
        if (text.equals("none")) {
            return none;
        }
        int[] cores = Arrays.stream(text.split(",")).mapToInt(Integer::parseInt).toArray();
        if (cores.length != none.length) {
            throw new IllegalArgumentException(
                    "--cores: expected three cores or none, got " + text);
        }
        for (int core : cores) {
            if (!ChildProcess.canPin(core)) {
                System.out.println(
                        "not pinned to cores: taskset or core " + core + " is not available");
                return none;
            }
        }
        return cores;
    }

    private void run() throws IOException, InterruptedException {
        System.out.printf(
                Locale.ROOT,
                "servers respond after %s ms; cores (program, servers, load) %s%n",
                arguments.text("delays"),
                cores[0] < 0 ? "any" : arguments.text("cores"));
        System.out.println(
                "name  conns round    req/s   p50 ms   p99 ms p99.9 ms   max ms   slow  refused"
                        + "  failed  reopened   CPU us/req  program servers load others");
        List<String> summaries = new ArrayList<>();
        for (int connections : arguments.integers("connections")) {
            List<Measurement> node = new ArrayList<>();
            List<Measurement> proxy = new ArrayList<>();
            for (int round = 1; round <= arguments.integer("rounds"); round++) {
                try (ChildProcess program = startNode(round)) {
                    node.add(measure("node", program, connections, round));
                }
                try (ChildProcess program = startProxy()) {
                    proxy.add(measure("proxy", program, connections, round));
                }
            }
            summaries.add(Summary.format(connections, node, proxy));
        }
        summaries.forEach(System.out::println);
    }

    private ChildProcess startNode(int round) throws IOException {
        List<String> instances = new ArrayList<>();
        for (String port : serverPorts.split(",")) {
            instances.add(String.format(INSTANCE_JSON, instances.size() + 1, port));
        }
        Files.writeString(
                CONFIG_FILE, String.format(NODE_JSON, round, String.join(",", instances)));
        return new ChildProcess(
                cores[0],
                Map.of("LB_CONFIG", CONFIG_FILE.toString()),
                NodeCommand.parse(deployToml));
    }

    private ChildProcess startProxy() throws IOException {
        return new ChildProcess(
                cores[0],
                Map.of(),
                NodeCommand.forProgram(
                        deployToml,
                        System.getProperty("java.class.path"),
                        "trailthread.benchmark.UndertowProxy",
                        "--workers",
                        serverPorts));
    }

    /** Command of a benchmark program, with more heap than it needs. */
    private static List<String> benchmarkCommand(String main, String... args) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xms256m",
                                "-Xmx256m",
                                "-XX:-UsePerfData",
                                "-cp",
                                System.getProperty("java.class.path"),
                                main));
        command.addAll(List.of(args));
        return command;
    }

    private Measurement measure(String name, ChildProcess program, int connections, int round)
            throws IOException, InterruptedException {
        String port = program.await(SERVES_LINE, START_TIMEOUT_S).group(1);
        int warmUpSeconds = arguments.integer("warm-up");
        int seconds = arguments.integer("seconds");
        try (ChildProcess load =
                new ChildProcess(
                        cores[2],
                        Map.of(),
                        benchmarkCommand(
                                "trailthread.benchmark.LoadGenerator",
                                "--port",
                                port,
                                "--connections",
                                Integer.toString(connections),
                                "--warm-up",
                                Integer.toString(warmUpSeconds),
                                "--seconds",
                                Integer.toString(seconds)))) {
            ChildProcess[] processes = {program, servers, load};
            load.await(MEASURING_LINE, warmUpSeconds + START_TIMEOUT_S);
            double[] used = processSeconds(processes);
            double[] busy = coreSeconds();
            load.await(MEASURED_LINE, seconds + START_TIMEOUT_S);
            used = minus(processSeconds(processes), used);
            double[] others = minus(minus(coreSeconds(), busy), used);
            Measurement measurement =
                    Measurement.parse(load.await(RESULT_LINE, START_TIMEOUT_S).group());
            System.out.printf(
                    Locale.ROOT,
                    "%-5s %5d %5d %s %11.1f  %6.0f%% %6.0f%% %3.0f%% %5.0f%%%n",
                    name,
                    connections,
                    round,
                    measurement.tableCells(),
                    used[0] * 1e6 / measurement.requests(),
                    100 * used[0] / seconds,
                    100 * used[1] / seconds,
                    100 * used[2] / seconds,
                    100 * Arrays.stream(others).max().orElseThrow() / seconds);
            return measurement;
        }
    }

    private static double[] processSeconds(ChildProcess... processes) {
        return Arrays.stream(processes).mapToDouble(ChildProcess::cpuSeconds).toArray();
    }

    private double[] coreSeconds() {
        return Arrays.stream(cores).mapToDouble(CpuTime::coreSeconds).toArray();
    }

    private static double[] minus(double[] minuends, double[] subtrahends) {
        return IntStream.range(0, minuends.length)
                .mapToDouble(i -> minuends[i] - subtrahends[i])
                .toArray();
    }
}
