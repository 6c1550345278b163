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
import trailthread.testkit.TestCluster;

/** One run of the program under a {@link Scenario}, from its start to its end. */
final class SoakRun {
    /** Of the program; idle connections may use up those for clients. */
    private static final int DESCRIPTORS = 256;

    /** How long clients send before SIGTERM. */
    private static final int WARM_UP_MS = 500;

    /** New connections come for so long after SIGTERM. */
    private static final int NEW_CONNECTIONS_MS = 400;

    /** The process ends at the latest so long after the longest deadline, counted from SIGTERM. */
    private static final int LAST_RESPONSES_MS = 1_700;

    /**
     * What a run showed.
     *
     * @param leftAtKillMs from the last response to the kill, in milliseconds; -1: no kill
     */
    record Result(
            Scenario scenario,
            List<Judge.Break> breaks,
            List<String> log,
            int requests,
            long leftAtKillMs,
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
    private long leftAtKillMs;
    private volatile boolean over;

    private SoakRun(Scenario scenario) throws IOException {
        this.scenario = scenario;
        cluster.descriptorLimit = DESCRIPTORS;
    }

    /** Plays a scenario. */
    static Result play(Scenario scenario) throws Exception {
        SoakRun run = new SoakRun(scenario);
        SchedulingDelayMeter delays = new SchedulingDelayMeter();
        try {
            List<Judge.Break> breaks = run.play();
            List<String> log = new ArrayList<>(run.cluster.log);
            log.addAll(run.notes);
            return new Result(
                    scenario,
                    breaks,
                    log,
                    run.requests.size(),
                    run.leftAtKillMs,
                    delays.maxDelayMs());
        } finally {
            delays.stop();
            run.end();
        }
    }

    private List<Judge.Break> play() throws Exception {
        servers = new ScriptedServer[scenario.servers().size()];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = server(scenario.servers().get(i), scenario.seed() + i);
        }
        cluster.start(scenario.settingsAtStart(), servers);
        startClients();
        Thread.sleep(WARM_UP_MS);
        for (int i = 0; i < scenario.busyThreads(); i++) {
            start(this::keepBusyLater);
        }
        Judge.Times times = terminate();
        List<Judge.Break> breaks = new ArrayList<>();
        if (!scenario.killed()) {
            checkOwnEnd(times, breaks);
        }
        over = true;
        for (Thread thread : threads) {
            thread.join();
        }
        leftAtKillMs = leftAtKillMs(times.killedAt());
        breaks.addAll(Judge.judge(requests.values(), times));
        return breaks;
    }

    private long leftAtKillMs(long killedAt) {
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
        message.respond("200 OK", "", "made");
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
            int startsAfterMs = WARM_UP_MS + random.nextInt(NEW_CONNECTIONS_MS);
            start(new SoakClient(this, random.nextLong(), 1, startsAfterMs));
        }
    }

    private void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void keepBusyLater() {
        pause(scenario.busyFromMs());
        while (!over) {
            Thread.onSpinWait();
        }
    }

    /** Sends the signals, and SIGKILL if the scenario has it. */
    private Judge.Times terminate() throws Exception {
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
        long terminatedAt = System.nanoTime();
        for (Scenario.TimedSignal signal : scenario.signals()) {
            if (signal.atMs() >= 0) {
                sleepUntil(terminatedAt, signal.atMs());
                signal(signal.name());
            }
        }
        if (!scenario.killed()) {
            return new Judge.Times(terminatedAt, RequestHistory.NEVER);
        }
        sleepUntil(terminatedAt, scenario.killAtMs());
        long killedAt = System.nanoTime();
        cluster.kill();
        return new Judge.Times(terminatedAt, killedAt);
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

    private void checkOwnEnd(Judge.Times times, List<Judge.Break> breaks) throws Exception {
        int dueMs =
                scenario.longestDeadlineAtStartMs()
                        + LAST_RESPONSES_MS
                        + SchedulingDelayMeter.DELAY_LIMIT_MS;
        long leftMs = dueMs - (System.nanoTime() - times.terminatedAt()) / 1_000_000;
        if (!cluster.exitsWithin(Math.max(0, leftMs), TimeUnit.MILLISECONDS)) {
            breaks.add(new Judge.Break(Rule.DID_NOT_END, "running after " + dueMs + " ms"));
            cluster.kill();
        } else if (cluster.exitStatus() != 0) {
            breaks.add(new Judge.Break(Rule.DID_NOT_END, "status " + cluster.exitStatus()));
        }
    }

    private void end() throws IOException, InterruptedException {
        over = true;
        cluster.close();
    }

    Scenario scenario() {
        return scenario;
    }

    /** Whether clients are to go on. */
    boolean goesOn() {
        return !over;
    }

    Socket connect() throws IOException {
        return cluster.connect();
    }

    RequestHistory add(RequestHistory request) {
        requests.put(request.id, request);
        return request;
    }

    /** Notes something unusual, to be printed with the log. */
    void note(String text) {
        notes.add(text);
    }
}
