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
 * Compares the node with Undertow's proxy before the same workers, in turns: each turn a fresh
 * process, its warm-up, its measured calls, its end. To be run at the root of the repository after
 * a build; docs/benchmarks.md says more.
 */
public final class ProxyComparison {
    private static final Path DEPLOY = Path.of("deploy", "balancer.toml");
    private static final Path CONFIG = Path.of("benchmarks", "target", "benchmark.json");
    private static final Pattern SERVES = Pattern.compile("serves? on .*?([0-9,]+)$");
    private static final Pattern MEASURING = Pattern.compile("^measuring$");
    private static final Pattern MEASURED = Pattern.compile("^measured$");
    private static final Pattern TURN = Pattern.compile("^turn .*$");
    private static final long STARTS_WITHIN_S = 30;
    private static final int BAD_USE = 2;

    private static final String SETTINGS =
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
    private static final String INSTANCE =
            """
            {"instanceId":"s-%d","hostPort":"127.0.0.1:%s","zone":"a","cell":0,"lifecycle":"active",
             "weight":1.0,"startedAtMs":0}""";

    private final Arguments arguments;
    private final String toml;
    private final int[] cores;
    private final ChildProcess workers;
    private final String ports;

    private ProxyComparison(Arguments arguments) throws IOException, InterruptedException {
        this.arguments = arguments;
        toml = Files.readString(DEPLOY);
        cores = cores(arguments.text("cores"));
        workers =
                new ChildProcess(
                        cores[1],
                        Map.of(),
                        ours(
                                "trailthread.benchmark.StubServers",
                                "--delays",
                                arguments.text("delays")));
        ports = workers.await(SERVES, STARTS_WITHIN_S).group(1);
    }

    /**
     * Runs the comparison and prints its table.
     *
     * @param args {@code --connections}, {@code --rounds}, {@code --seconds} and {@code --warm-up}
     *     (s) of a turn, {@code --delays} of the workers (ms), {@code --cores} of the program under
     *     test, the workers and the load, or none
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
            System.exit(BAD_USE);
        }
    }

    private static int[] cores(String text) throws InterruptedException {
        int[] none = {-1, -1, -1};
        if (text.equals("none")) {
            return none;
        }
        int[] cores = Arrays.stream(text.split(",")).mapToInt(Integer::parseInt).toArray();
        if (cores.length != none.length) {
            throw new IllegalArgumentException("three cores, or none, not " + text);
        }
        for (int core : cores) {
            if (!ChildProcess.canPin(core)) {
                System.out.println("not pinned: no taskset, or no core " + core);
                return none;
            }
        }
        return cores;
    }

    private void run() throws IOException, InterruptedException {
        System.out.printf(
                Locale.ROOT,
                "workers answer after %s ms; cores (program, workers, load) %s%n",
                arguments.text("delays"),
                cores[0] < 0 ? "any" : arguments.text("cores"));
        System.out.println(
                "who   conns round  calls/s   p50 ms   p99 ms p99.9 ms   max ms   slow  refused"
                        + "  failed  reopened  CPU us/call  program workers load others");
        List<String> summaries = new ArrayList<>();
        for (int connections : arguments.list("connections")) {
            List<Measurement> node = new ArrayList<>();
            List<Measurement> proxy = new ArrayList<>();
            for (int round = 1; round <= arguments.whole("rounds"); round++) {
                try (ChildProcess program = node(round)) {
                    node.add(turn("node", program, connections, round));
                }
                try (ChildProcess program = proxy()) {
                    proxy.add(turn("proxy", program, connections, round));
                }
            }
            summaries.add(Summary.line(connections, node, proxy));
        }
        summaries.forEach(System.out::println);
    }

    private ChildProcess node(int round) throws IOException {
        List<String> instances = new ArrayList<>();
        for (String port : ports.split(",")) {
            instances.add(String.format(INSTANCE, instances.size() + 1, port));
        }
        Files.writeString(CONFIG, String.format(SETTINGS, round, String.join(",", instances)));
        return new ChildProcess(
                cores[0], Map.of("LB_CONFIG", CONFIG.toString()), NodeCommand.node(toml));
    }

    private ChildProcess proxy() throws IOException {
        return new ChildProcess(
                cores[0],
                Map.of(),
                NodeCommand.other(
                        toml,
                        System.getProperty("java.class.path"),
                        "trailthread.benchmark.UndertowProxy",
                        "--workers",
                        ports));
    }

    /** A program of the benchmark's own, with room to spare. */
    private static List<String> ours(String main, String... args) {
        List<String> words =
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
        words.addAll(List.of(args));
        return words;
    }

    private Measurement turn(String who, ChildProcess program, int connections, int round)
            throws IOException, InterruptedException {
        String port = program.await(SERVES, STARTS_WITHIN_S).group(1);
        int warmUp = arguments.whole("warm-up");
        int seconds = arguments.whole("seconds");
        try (ChildProcess load =
                new ChildProcess(
                        cores[2],
                        Map.of(),
                        ours(
                                "trailthread.benchmark.LoadGenerator",
                                "--port",
                                port,
                                "--connections",
                                Integer.toString(connections),
                                "--warm-up",
                                Integer.toString(warmUp),
                                "--seconds",
                                Integer.toString(seconds)))) {
            ChildProcess[] all = {program, workers, load};
            load.await(MEASURING, warmUp + STARTS_WITHIN_S);
            double[] own = ownSeconds(all);
            double[] busy = busySeconds();
            load.await(MEASURED, seconds + STARTS_WITHIN_S);
            own = minus(ownSeconds(all), own);
            double[] others = minus(minus(busySeconds(), busy), own);
            Measurement turn = Measurement.parse(load.await(TURN, STARTS_WITHIN_S).group());
            System.out.printf(
                    Locale.ROOT,
                    "%-5s %5d %5d %s %11.1f  %6.0f%% %6.0f%% %3.0f%% %5.0f%%%n",
                    who,
                    connections,
                    round,
                    turn.cells(),
                    own[0] * 1e6 / turn.calls(),
                    100 * own[0] / seconds,
                    100 * own[1] / seconds,
                    100 * own[2] / seconds,
                    100 * Arrays.stream(others).max().orElseThrow() / seconds);
            return turn;
        }
    }

    private static double[] ownSeconds(ChildProcess... children) {
        return Arrays.stream(children).mapToDouble(ChildProcess::cpuSeconds).toArray();
    }

    private double[] busySeconds() {
        return Arrays.stream(cores).mapToDouble(CpuTime::ofCore).toArray();
    }

    private static double[] minus(double[] all, double[] some) {
        return IntStream.range(0, all.length).mapToDouble(i -> all[i] - some[i]).toArray();
    }
}
