package trailthread.daemon.soak;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** One run of the program with servers that send stray responses. */
final class StrayResponseRun {
    private static final int SERVERS = 6;

    /** Servers of the same cell drop repeats of a keyed request. */
    private static final int CELLS = 3;

    private static final int RUN_MS = 2_500;
    private static final double STRAY_SHARE = 0.2;
    private static final double REJECTED_SHARE = 0.05;
    private static final int MIN_WORK_MS = 5;
    private static final int MAX_WORK_MS = 30;
    private static final int MAX_CLIENT_PAUSE_MS = 20;
    private static final int CONNECTION_END = -1;
    private static final int NOTHING_READ = -2;
    private static final String[] CLASSES = {"state", "action", "use"};

    /** A broken rule, and the request's attempts. */
    record Violation(PairingRule rule, String evidence) {}

    /**
     * The result of a run.
     *
     * @param served the number of requests that were served
     */
    record Result(int requests, int served, List<Violation> violations, List<String> log) {}

    private final StrayResponseScenario scenario;
    private final long seed;
    private final TestCluster cluster = new TestCluster();
    private final Map<String, List<ServerAttempt>> attempts = new ConcurrentHashMap<>();
    private final Map<String, String> classes = new ConcurrentHashMap<>();
    private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean finished;

    private StrayResponseRun(StrayResponseScenario scenario, long seed) throws IOException {
        this.scenario = scenario;
        this.seed = seed;
    }

    /** Runs a scenario. */
    static Result run(StrayResponseScenario scenario, long seed) throws Exception {
        StrayResponseRun run = new StrayResponseRun(scenario, seed);
        try {
            return run.execute();
        } finally {
            run.finished = true;
            run.cluster.close();
        }
    }

    private Result execute() throws Exception {
        startNode();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < scenario.clients(); i++) {
            Random random = new Random(seed + SERVERS + i);
            Thread client = new Thread(() -> sendRequests(random));
            client.start();
            clients.add(client);
        }
        Thread.sleep(RUN_MS);
        finished = true;
        for (Thread client : clients) {
            client.join();
        }
        attempts.forEach(this::checkAttempts);
        return new Result(classes.size(), served.get(), new ArrayList<>(violations), cluster.log);
    }

    private void startNode() throws Exception {
        ScriptedServer[] servers = new ScriptedServer[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            int number = i;
            Random random = new Random(seed + i);
            servers[i] =
                    cluster.closeAtEnd(
                            new ScriptedServer(request -> serve(request, number, random)));
            servers[i].setAcceptScript(connection -> greet(connection, random));
        }
        String config = cluster.config(TestCluster.SETTINGS, servers);
        for (int i = 0; i < SERVERS; i++) {
            config = inCell(config, servers[i], i % CELLS);
        }
        cluster.startWithConfig(config);
    }

    private static String inCell(String config, ScriptedServer server, int cell) {
        String entry = "\"hostPort\":\"" + server.hostPort() + "\",\"zone\":\"a\",\"cell\":";
        return config.replace(entry + 0, entry + cell);
    }

    private void greet(Socket connection, Random random) throws IOException {
        if (scenario.hasGreetings() && random.nextBoolean()) {
            Message.send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nnobody");
        }
    }

    private void serve(Message request, int server, Random random) throws IOException {
        String id = request.header("X-Correlation-Id");
        if (id == null) {
            request.respond("404 Not Found", "", ""); // a health check
            return;
        }
        ServerAttempt attempt = new ServerAttempt(server);
        attempts.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(attempt);
        if (random.nextDouble() < REJECTED_SHARE) {
            attempt.rejected = true;
            attempt.endedAt = System.nanoTime();
            request.respond("503 Full", "X-Unprocessed: 1\r\n", "");
            return;
        }
        int workMs = MIN_WORK_MS + random.nextInt(MAX_WORK_MS - MIN_WORK_MS);
        attempt.closedByNode = isClosedWithin(workMs, request.connection());
        attempt.endedAt = System.nanoTime();
        request.respond("200 OK", "", id);
        if (scenario.hasStrays() && random.nextDouble() < STRAY_SHARE) {
            int spanMs = scenario.maxDelayMs() - scenario.minDelayMs();
            int delayMs = scenario.minDelayMs() + random.nextInt(spanMs);
            CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS)
                    .execute(() -> sendStray(request.connection(), id));
        }
    }

    /** Works for a while; returns whether the connection was closed by then. */
    private static boolean isClosedWithin(int workMs, Socket connection) throws IOException {
        long endsAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(workMs);
        int read = readWithin(workMs, connection);
        if (read == NOTHING_READ) {
            // A thread that wakes up late may have timed out beside a close that had arrived.
            read = readWithin(1, connection);
        }
        if (read >= 0) {
            // The first byte of the next request, which no check needs.
            LockSupport.parkNanos(endsAt - System.nanoTime());
        }
        return read == CONNECTION_END;
    }

    /** Returns a byte, {@link #CONNECTION_END} or {@link #NOTHING_READ}. */
    private static int readWithin(int timeoutMs, Socket connection) throws IOException {
        connection.setSoTimeout(timeoutMs);
        try {
            return connection.getInputStream().read();
        } catch (SocketTimeoutException e) {
            return NOTHING_READ;
        } finally {
            connection.setSoTimeout(0);
        }
    }

    private void sendStray(Socket connection, String id) {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
        try {
            Message.send(connection, scenario.strayAfter(response));
        } catch (IOException e) {
            // the connection has been closed
        }
    }

    private void sendRequests(Random random) {
        try {
            while (!finished) {
                sendRequest(CLASSES[random.nextInt(CLASSES.length)]);
                Thread.sleep(random.nextInt(MAX_CLIENT_PAUSE_MS));
            }
        } catch (IOException | InterruptedException e) {
            violations.add(new Violation(PairingRule.WRONG_RESPONSE, "no response: " + e));
        }
    }

    private void sendRequest(String requestClass) throws IOException {
        String text = TestCluster.requestText(requestClass, "", "");
        String id = text.split("X-Correlation-Id: ")[1].split("\r\n")[0];
        classes.put(id, requestClass);
        try (Socket client = cluster.connect()) {
            Message.send(client, text);
            Message response = Message.read(client);
            if (response.status() != 200) {
                return;
            }
            served.incrementAndGet();
            if (!response.body().equals(id)) {
                violations.add(
                        new Violation(
                                PairingRule.WRONG_RESPONSE,
                                requestClass + " " + id + " got " + response.body()));
            }
        }
    }

    private void checkAttempts(String id, List<ServerAttempt> all) {
        for (int i = 1; i < all.size(); i++) {
            for (ServerAttempt earlier : all.subList(0, i)) {
                checkPair(id, earlier, all.get(i));
            }
        }
    }

    private void checkPair(String id, ServerAttempt earlier, ServerAttempt later) {
        String requestClass = classes.get(id);
        String evidence = requestClass + " " + id + ": " + earlier + "; " + later;
        if (earlier.isOutAt(later.receivedAt)) {
            violations.add(new Violation(PairingRule.TWO_AT_ONCE, evidence));
        }
        if (earlier.rejected) {
            return;
        }
        if (requestClass.equals("use")) {
            violations.add(new Violation(PairingRule.REPEATED, evidence));
        }
        if (requestClass.equals("action") && earlier.server % CELLS != later.server % CELLS) {
            violations.add(new Violation(PairingRule.REPEATED_OUTSIDE_GROUP, evidence));
        }
    }
}
