package trailthread.lab.emulation;

import com.google.gson.Gson;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import trailthread.api.Idempotency;
import trailthread.lab.fault.FaultTarget;
import trailthread.lab.scenario.Scenario;

/**
 * A real node: a child process started with the platform's command, with its configuration file and
 * the signals sent to it.
 */
final class NodeProcess implements FaultTarget.Node {
    /** How often the node is polled until it is ready, or until it has exited. */
    private static final long POLL_INTERVAL_NS = 50_000_000L;

    /** Time that the node has to react to a signal. */
    private static final long SIGNAL_GRACE_NS = 200_000_000L;

    /** Resident memory, open file descriptors and processor time since the start of a node. */
    record ResourceUsage(double rssMb, int descriptors, double cpuSeconds) {}

    private final Emulation emulation;
    private final int number;
    private final String zone;
    private final Path config;
    private final File log;
    private final List<String> command;
    private final File root;
    private final HttpClients.TargetNode target;
    private Process process;
    private boolean serving;

    NodeProcess(
            Emulation emulation,
            int number,
            String zone,
            Path directory,
            Emulation.Program program,
            HttpClients.TargetNode target)
            throws IOException {
        this.emulation = emulation;
        this.number = number;
        this.zone = zone;
        this.command = program.command();
        this.root = program.root().toFile();
        this.target = target;
        config = directory.resolve("n" + number + ".json");
        log = directory.resolve("n" + number + ".log").toFile();
        Files.writeString(config, configurationJson(), StandardCharsets.UTF_8);
    }

    /** The configuration in the platform's JSON format, with the simulator's setting names. */
    private String configurationJson() {
        Scenario scenario = emulation.scenario();
        List<Object> categories = new ArrayList<>();
        for (var classModel : scenario.classes()) {
            var c = classModel.requestClass();
            categories.add(
                    Map.of(
                            "name",
                            c.name(),
                            "aim_ns",
                            c.latencyObjectiveNs(),
                            "deadline_ns",
                            c.deadlineNs(),
                            "semantics",
                            idempotency(c.idempotency()),
                            "group",
                            c.deduplicationScope().name().toLowerCase(Locale.ROOT),
                            "window_ns",
                            c.deduplicationWindowNs(),
                            "gain",
                            c.priorityWeight(),
                            "late_value",
                            c.lateWeightShare()));
        }
        List<Object> tenants = new ArrayList<>();
        scenario.tenants()
                .forEach(
                        t ->
                                tenants.add(
                                        Map.of(
                                                "name",
                                                t.name(),
                                                "quota_per_s",
                                                t.quotaPerSecond(),
                                                "fraction",
                                                t.share())));
        var rules = scenario.rules();
        var cold = scenario.fleet().limits().cold();
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("categories", categories);
        settings.put("tenants", tenants);
        settings.put("me", number);
        settings.put("replicas_of_me", scenario.nodes());
        settings.put("zone", zone);
        settings.put("zones", scenario.zones());
        settings.put("discovery", "on_request");
        settings.put(
                "report",
                scenario.fleet().reportsLoad()
                        ? Map.of("how", "piggyback", "fields", List.of("inflight", "queue"))
                        : Map.of("how", "silent"));
        settings.put("deductions", Map.of("cross_zone", rules.crossZonePrice()));
        settings.put(
                "limits",
                Map.of(
                        "most_tries",
                        rules.maxAttempts(),
                        "retry_after",
                        rules.maxRetryAfterNs() > 0,
                        "max_retry_after_ns",
                        rules.maxRetryAfterNs(),
                        "dial_timeout_ns",
                        scenario.network().connectTimeoutNs(),
                        "idle_close_ns",
                        scenario.network().idleCloseNs(),
                        "may_cancel",
                        true,
                        "probes",
                        rules.healthChecks()));
        settings.put(
                "safety",
                Map.of(
                        "drain_grace_ns",
                        rules.drainGraceNs(),
                        "answer_slack_ns",
                        rules.responseSlackNs(),
                        "cold_ns",
                        cold.warmNs(),
                        "start_capacity",
                        cold.share(),
                        "fall_multiple",
                        Math.min(1e6, cold.overloadMultiple()),
                        "fall_ns",
                        cold.windowNs()));
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("name", "n" + number);
        configuration.put("listen", "127.0.0.1:" + target.address.getPort());
        configuration.put("discovery", emulation.discovery().hostPort(number));
        configuration.put("seed", Long.toHexString(emulation.streams().seedOf("n" + number)));
        configuration.put("limits", Map.of("sockets", 1024));
        configuration.put("settings", settings);
        Gson gson = new Gson();
        String json = gson.toJson(configuration);
        // The endpoint list that a node starting now would have received, as discovery writes it.
        return json.substring(0, json.length() - 1)
                + ",\"known\":"
                + emulation.discovery().fullListJson(number)
                + "}";
    }

    private static String idempotency(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "retryable";
            case IDEMPOTENCY_KEY -> "dedup";
            case NOT_IDEMPOTENT -> "fragile";
        };
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    @Override
    public void start() {
        try {
            Files.writeString(config, configurationJson(), StandardCharsets.UTF_8);
            emulation.discovery().recordListReceived(number);
            ProcessBuilder builder =
                    new ProcessBuilder(command)
                            .directory(root)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().put("LB_CONFIG", config.toString());
            process = builder.start();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "can't start node " + number + ": " + e.getMessage(), e);
        }
        pollReadiness();
    }

    /** Requests {@code /ready} until the node is ready; clients may send to it from then on. */
    private void pollReadiness() {
        Process polled = process;
        try {
            HttpMessageConnection[] connection = new HttpMessageConnection[1];
            connection[0] =
                    HttpMessageConnection.open(
                            emulation.loop(),
                            target.address,
                            new HttpMessageConnection.Listener() {
                                @Override
                                public void opened() {
                                    connection[0].send(
                                            "GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
                                }

                                @Override
                                public void message(HttpMessage message) {
                                    connection[0].close();
                                    if (polled == process && message.status() == 200) {
                                        serving = true;
                                        target.admitted = true;
                                        target.interrupted = false;
                                    } else {
                                        pollLater();
                                    }
                                }

                                @Override
                                public void closed(String reason) {
                                    pollLater();
                                }

                                private void pollLater() {
                                    if (polled == process && polled.isAlive()) {
                                        emulation
                                                .eventQueue()
                                                .scheduleAfter(
                                                        POLL_INTERVAL_NS,
                                                        NodeProcess.this::pollReadiness);
                                    }
                                }
                            });
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public boolean isServing() {
        return serving;
    }

    @Override
    public void kill() {
        serving = false;
        target.killed();
        process.destroyForcibly();
    }

    @Override
    public void restart() {
        serving = false;
        process.destroy();
        emulation.eventQueue().scheduleAfter(SIGNAL_GRACE_NS, () -> target.admitted = false);
        startAfterExit(process);
    }

    private void startAfterExit(Process exiting) {
        if (exiting.isAlive()) {
            emulation.eventQueue().scheduleAfter(POLL_INTERVAL_NS, () -> startAfterExit(exiting));
        } else if (exiting == process) {
            start();
        }
    }

    @Override
    public void reload() {
        signal("HUP");
    }

    @Override
    public void pause(long durationNs) {
        target.interrupted = true;
        signal("STOP");
        emulation
                .eventQueue()
                .scheduleAfter(
                        durationNs,
                        () -> {
                            signal("CONT");
                            emulation
                                    .eventQueue()
                                    .scheduleAfter(
                                            SIGNAL_GRACE_NS, () -> target.interrupted = false);
                        });
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Kills the process for good. */
    void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    ResourceUsage resourceUsage() {
        try {
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            String status = Files.readString(proc.resolve("status"));
            double rssMb =
                    status.lines()
                            .filter(l -> l.startsWith("VmRSS:"))
                            .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / 1024)
                            .findFirst()
                            .orElse(0);
            String[] descriptors = proc.resolve("fd").toFile().list();
            String stat = Files.readString(proc.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double cpuSeconds =
                    (Long.parseLong(fields[11]) + Long.parseLong(fields[12]))
                            / 100.0; // clock ticks, see proc_pid_stat(5)
            return new ResourceUsage(
                    rssMb, descriptors == null ? 0 : descriptors.length, cpuSeconds);
        } catch (IOException e) {
            return new ResourceUsage(0, 0, 0); // the process has exited
        }
    }
}
