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
 * A real node: a child process by the platform's own command, its configuration, and signals to it.
 */
final class NodeProcess implements FaultTarget.Node {
    private static final long LOOK_NS = 50_000_000L;
    private static final long SOON_NS = 200_000_000L;

    /** What the system tells of a node: resident memory, descriptors, processor time. */
    record Sample(double rssMb, int descriptors, double cpuSeconds) {}

    private final Emulation emulation;
    private final int number;
    private final String zone;
    private final Path config;
    private final File log;
    private final List<String> command;
    private final File root;
    private final HttpClients.Target target;
    private Process process;
    private boolean serving;

    NodeProcess(
            Emulation emulation,
            int number,
            String zone,
            Path directory,
            Emulation.Program program,
            HttpClients.Target target)
            throws IOException {
        this.emulation = emulation;
        this.number = number;
        this.zone = zone;
        this.command = program.command();
        this.root = program.root().toFile();
        this.target = target;
        config = directory.resolve("n" + number + ".json");
        log = directory.resolve("n" + number + ".log").toFile();
        Files.writeString(config, json(), StandardCharsets.UTF_8);
    }

    /** Its configuration, as the platform writes it, under the simulator's names. */
    private String json() {
        Scenario s = emulation.scenario();
        List<Object> categories = new ArrayList<>();
        for (var classModel : s.classes()) {
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
        s.tenants()
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
        var rules = s.rules();
        var cold = s.fleet().limits().cold();
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("categories", categories);
        settings.put("tenants", tenants);
        settings.put("me", number);
        settings.put("replicas_of_me", s.nodes());
        settings.put("zone", zone);
        settings.put("zones", s.zones());
        settings.put("discovery", "on_request");
        settings.put(
                "report",
                s.fleet().reportsLoad()
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
                        s.network().connectTimeoutNs(),
                        "idle_close_ns",
                        s.network().idleCloseNs(),
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
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("name", "n" + number);
        all.put("listen", "127.0.0.1:" + target.address.getPort());
        all.put("discovery", emulation.discovery().hostPort(number));
        all.put("seed", Long.toHexString(emulation.streams().seedOf("n" + number)));
        all.put("limits", Map.of("sockets", 1024));
        all.put("settings", settings);
        Gson gson = new Gson();
        // The list as a node that starts now would have had it: discovery's own words.
        String text = gson.toJson(all);
        return text.substring(0, text.length() - 1)
                + ",\"known\":"
                + emulation.discovery().whole(number)
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
            Files.writeString(config, json(), StandardCharsets.UTF_8);
            emulation.discovery().known(number);
            ProcessBuilder builder =
                    new ProcessBuilder(command)
                            .directory(root)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().put("LB_CONFIG", config.toString());
            process = builder.start();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "node " + number + " can't be started: " + e.getMessage(), e);
        }
        look();
    }

    /** Asks whether it is ready, again and again; the front admits it once it is. */
    private void look() {
        Process of = process;
        try {
            HttpMessageConnection[] wire = new HttpMessageConnection[1];
            wire[0] =
                    HttpMessageConnection.open(
                            emulation.loop(),
                            target.address,
                            new HttpMessageConnection.Listener() {
                                @Override
                                public void opened() {
                                    wire[0].send(
                                            "GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
                                }

                                @Override
                                public void message(HttpMessage message) {
                                    wire[0].close();
                                    if (of == process && message.status() == 200) {
                                        serving = true;
                                        target.admitted = true;
                                        target.excused = false;
                                    } else {
                                        again();
                                    }
                                }

                                @Override
                                public void closed(String how) {
                                    again();
                                }

                                private void again() {
                                    if (of == process && of.isAlive()) {
                                        emulation
                                                .eventQueue()
                                                .scheduleAfter(LOOK_NS, NodeProcess.this::look);
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
        target.died();
        process.destroyForcibly();
    }

    @Override
    public void restart() {
        serving = false;
        process.destroy();
        emulation.eventQueue().scheduleAfter(SOON_NS, () -> target.admitted = false);
        startWhenEnded(process);
    }

    private void startWhenEnded(Process of) {
        if (of.isAlive()) {
            emulation.eventQueue().scheduleAfter(LOOK_NS, () -> startWhenEnded(of));
        } else if (of == process) {
            start();
        }
    }

    @Override
    public void reload() {
        signal("HUP");
    }

    @Override
    public void pause(long forNs) {
        target.excused = true;
        signal("STOP");
        emulation
                .eventQueue()
                .scheduleAfter(
                        forNs,
                        () -> {
                            signal("CONT");
                            emulation
                                    .eventQueue()
                                    .scheduleAfter(SOON_NS, () -> target.excused = false);
                        });
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends it for good. */
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    Sample sample() {
        try {
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            String status = Files.readString(proc.resolve("status"));
            double rss =
                    status.lines()
                            .filter(l -> l.startsWith("VmRSS:"))
                            .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / 1024)
                            .findFirst()
                            .orElse(0);
            String[] held = proc.resolve("fd").toFile().list();
            String stat = Files.readString(proc.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double cpu =
                    (Long.parseLong(fields[11]) + Long.parseLong(fields[12]))
                            / 100.0; // proc_pid_stat(5)
            return new Sample(rss, held == null ? 0 : held.length, cpu);
        } catch (IOException e) {
            return new Sample(0, 0, 0); // it has ended
        }
    }
}
