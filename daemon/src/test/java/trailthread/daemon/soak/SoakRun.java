package trailthread.daemon.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import trailthread.testkit.Message;
import trailthread.testkit.SchedulingDelayMeter;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.SystemCallFaults;
import trailthread.testkit.TestCluster;

/** One run of the program under a {@link Scenario}, from its start to its exit. */
final class SoakRun {
    /** The descriptor limit of the program; idle connections may use up its share for clients. */
    private static final int DESCRIPTORS = 256;

    /** New connections arrive for this long after SIGTERM. */
    private static final int NEW_CONNECTIONS_MS = 400;

    /** The process exits at the latest this long plus the longest deadline after SIGTERM. */
    private static final int LAST_RESPONSES_GRACE_MS = 1_700;

    /**
     * The result of a run.
     *
     * @param marginBeforeKillMs from the last response to the kill, in milliseconds; -1 without a
     *     kill
     * @param worstDelayMs the longest delay of a thread by the machine, in milliseconds
     */
    record Result(
            Scenario scenario,
            List<RuleChecker.Violation> violations,
            List<String> log,
            int requests,
            long marginBeforeKillMs,
            long worstDelayMs) {
        boolean isVoid() {
            return worstDelayMs >= SchedulingDelayMeter.DELAY_LIMIT_MS;
        }
    }

    private final Scenario scenario;
    private final TestCluster cluster = new TestCluster();
    private final Map<String, RequestHistory> requests = new ConcurrentHashMap<>();
    private final Queue<String> notes = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private ScriptedServer[] servers;
    private long marginBeforeKillMs;
    private volatile boolean finished;

    /** Null if no system call fails. */
    private final SystemCallFaults systemCallFaults;

    private SoakRun(Scenario scenario) throws IOException, InterruptedException {
        this.scenario = scenario;
        cluster.descriptorLimit = DESCRIPTORS;
        if (scenario.faults().isEmpty()) {
            systemCallFaults = null;
        } else {
            systemCallFaults = cluster.closeAtEnd(new SystemCallFaults(scenario.seed()));
            cluster.launcher = systemCallFaults.launcher();
        }
    }

    /** Runs a scenario. */
    static Result run(Scenario scenario) throws Exception {
        SoakRun run = new SoakRun(scenario);
        SchedulingDelayMeter delays = new SchedulingDelayMeter();
        try {
            List<RuleChecker.Violation> violations = run.execute();
            List<String> log = new ArrayList<>(run.cluster.log);
            log.addAll(run.notes);
            return new Result(
                    scenario,
                    violations,
                    log,
                    run.requests.size(),
                    run.marginBeforeKillMs,
                    delays.maxDelayMs());
        } finally {
            delays.stop();
            run.end();
        }
    }

    private List<RuleChecker.Violation> execute() throws Exception {
        servers = new ScriptedServer[scenario.servers().size()];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = server(scenario.servers().get(i), scenario.seed() + i);
        }
        cluster.start(scenario.settingsAtStart(), servers);
        scenario.faults().forEach(this::inject);
        startClients();
        Thread.sleep(scenario.serviceMs());
        for (int i = 0; i < scenario.busyThreads(); i++) {
            start(this::keepCpuBusyLater);
        }
        RuleChecker.Times times = terminate();
        List<RuleChecker.Violation> violations = new ArrayList<>();
        if (!scenario.killed()) {
            checkExit(times, violations);
        }
        finished = true;
        for (Thread thread : threads) {
            thread.join();
        }
        marginBeforeKillMs = marginBeforeKillMs(times.killedAt());
        violations.addAll(RuleChecker.check(scenario, requests.values(), times));
        return violations;
    }

    private void inject(Scenario.SystemCallFault fault) {
        if (fault.isShort()) {
            systemCallFaults.transferFewBytes(fault.call());
        }
        systemCallFaults.failRandomly(fault.call(), fault.perThousand());
    }

    private long marginBeforeKillMs(long killedAt) {
        return requests.values().stream()
                .filter(request -> request.answered && killedAt != RequestHistory.NEVER)
                .mapToLong(request -> (killedAt - request.endedAt) / 1_000_000)
                .min()
                .orElse(-1);
    }

    private ScriptedServer server(Scenario.ServerMix mix, long seed) throws IOException {
        Random random = new Random(seed);
        return cluster.closeAtEnd(new ScriptedServer(request -> serve(request, mix, random)));
    }

    private void serve(Message message, Scenario.ServerMix mix, Random random) throws IOException {
        RequestHistory request = requests.get(message.header("X-Correlation-Id"));
        request.receivedAt.add(System.nanoTime());
        double drawn = random.nextDouble();
        if (drawn < mix.never()) {
            return;
        }
        if (drawn < mix.never() + mix.half()) {
            Message.send(message.connection(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nma");
            return;
        }
        if (drawn < mix.never() + mix.half() + mix.late()) {
            pause(random.nextInt(request.deadlineMs * 3 / 2));
        }
        message.respond("200 OK", "", request.id);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void startClients() throws IOException {
        for (int i = 0; i < scenario.idleConnections(); i++) {
            cluster.connect();
        }
        Random random = new Random(scenario.seed());
        for (int i = 0; i < scenario.clients(); i++) {
            start(new SoakClient(this, random.nextLong(), Integer.MAX_VALUE, 0));
        }
        for (int i = 0; i < scenario.burstClients(); i++) {
            int startsAfterMs = scenario.serviceMs() + random.nextInt(NEW_CONNECTIONS_MS);
            start(new SoakClient(this, random.nextLong(), 1, startsAfterMs));
        }
    }

    private void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void keepCpuBusyLater() {
        pause(scenario.busyFromMs());
        while (!finished) {
            Thread.onSpinWait();
        }
    }

    /** Sends the signals of the scenario, with SIGTERM and, if it has one, SIGKILL. */
    private RuleChecker.Times terminate() throws Exception {
        List<Scenario.TimedSignal> before =
                scenario.signals().stream().filter(signal -> signal.atMs() < 0).toList();
        long base = System.nanoTime();
        for (Scenario.TimedSignal signal : before) {
            sleepUntil(base, (long) signal.atMs() - before.get(0).atMs());
            signal(signal.name());
        }
        if (!before.isEmpty()) {
            sleepUntil(base, -before.get(0).atMs());
        }
        cluster.terminate();
        long sigtermAt = System.nanoTime();
        for (Scenario.TimedSignal signal : scenario.signals()) {
            if (signal.atMs() >= 0) {
                sleepUntil(sigtermAt, signal.atMs());
                signal(signal.name());
            }
        }
        if (!scenario.killed()) {
            return new RuleChecker.Times(sigtermAt, RequestHistory.NEVER);
        }
        sleepUntil(sigtermAt, scenario.killAtMs());
        long killedAt = System.nanoTime();
        cluster.kill();
        return new RuleChecker.Times(sigtermAt, killedAt);
    }

    private void signal(String name) throws Exception {
        if (!cluster.isRunning()) {
            return;
        }
        if (name.equals(Scenario.HANGUP)) {
            cluster.reload(cluster.config(scenario.settings(), servers));
        } else {
            cluster.signal(name);
        }
    }

    private static void sleepUntil(long since, long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (System.nanoTime() - since) / 1_000_000));
    }

    private void checkExit(RuleChecker.Times times, List<RuleChecker.Violation> violations)
            throws Exception {
        int dueMs =
                scenario.longestDeadlineAtStartMs()
                        + LAST_RESPONSES_GRACE_MS
                        + SchedulingDelayMeter.DELAY_LIMIT_MS;
        long leftMs = dueMs - (System.nanoTime() - times.sigtermAt()) / 1_000_000;
        if (!cluster.exitsWithin(Math.max(0, leftMs), TimeUnit.MILLISECONDS)) {
            violations.add(
                    new RuleChecker.Violation(
                            Rule.DID_NOT_EXIT, "still running after " + dueMs + " ms"));
            cluster.kill();
        } else if (cluster.exitStatus() != 0) {
            violations.add(
                    new RuleChecker.Violation(
                            Rule.DID_NOT_EXIT, "exit status " + cluster.exitStatus()));
        }
    }

    private void end() throws IOException, InterruptedException {
        finished = true;
        cluster.close();
    }

    Scenario scenario() {
        return scenario;
    }

    /** Whether clients keep sending. */
    boolean isRunning() {
        return !finished;
    }

    Socket connect() throws IOException {
        return cluster.connect();
    }

    RequestHistory add(RequestHistory request) {
        requests.put(request.id, request);
        return request;
    }

    /** Notes an unusual event, which is printed with the log. */
    void note(String text) {
        notes.add(text);
    }
}
