package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.SchedulingDelayMeter;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * Each admitted request gets one complete response before a kill at the earliest time that the
 * platform allows, although endpoints hang and clients use every connection that stays open.
 */
public class GracefulShutdownTest {
    /** Clients send in turn, from SIGTERM until after the last connection is closed. */
    private static final int CLIENTS = 28;

    private static final int INTERVAL_MS = 30;

    /**
     * Requests sent this long after SIGTERM arrive after responses have begun to close connections.
     */
    private static final int LATE_MS = 450;

    private static final String[] CLASSES = {"use", "state", "action"};
    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\w+)");
    private final TestCluster cluster;
    private final Set<String> receivedIds = ConcurrentHashMap.newKeySet();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private final AtomicInteger lateResponses = new AtomicInteger();
    private volatile boolean endpointsHang;
    private volatile boolean killed;

    public GracefulShutdownTest() throws Exception {
        cluster = new TestCluster();
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }

    private static String settings(int deadlineMs) {
        return TestCluster.SETTINGS
                .replace("\"aim_ns\":10000000000", "\"aim_ns\":" + deadlineMs * 800_000L)
                .replace(
                        "\"deadline_ns\":20000000000", "\"deadline_ns\":" + deadlineMs * 1_000_000L)
                .replace("\"window_ns\":20000000000", "\"window_ns\":" + deadlineMs * 1_000_000L);
    }

    private ScriptedServer endpoint() throws IOException {
        return cluster.closeAtEnd(
                new ScriptedServer(
                        request -> {
                            receivedIds.add(request.header("X-Correlation-Id"));
                            if (!endpointsHang) {
                                request.respond("200 OK", "", "made");
                            }
                        }));
    }

    private static String requestText(int number, int deadlineMs) {
        return TestCluster.requestText(CLASSES[number % CLASSES.length], "", "")
                .replace("Left: 20.000", "Left: " + deadlineMs / 1000.0);
    }

    /** Sends requests on an idle connection, until a response or the node closes it. */
    @SuppressWarnings("AssertionFailureIgnored") // collected, and reported by the test
    private void sendRequests(Socket connection, int number, int deadlineMs) {
        String id = "";
        boolean sentBeforeKill = true;
        try {
            if (isClosedBeforeTurn(connection, number)) {
                assertFalse("the connection was open at the kill", killed);
                return;
            }
            for (Message response = null;
                    response == null || !"close".equals(response.header("Connection")); ) {
                String requestText = requestText(number, deadlineMs);
                Matcher matcher = ID.matcher(requestText);
                assertTrue(matcher.find());
                id = matcher.group(1);
                sentBeforeKill = !killed;
                Message.send(connection, requestText);
                response = Message.read(connection);
                if (response == null) {
                    throw new IOException("the connection has ended");
                }
                lateResponses.addAndGet(number * INTERVAL_MS >= LATE_MS ? 1 : 0);
            }
            assertEquals("no further response", -1, connection.getInputStream().read());
        } catch (IOException e) {
            // A request sent while the node closes the idle connection was not read; its client
            // retries it at another node.
            if ((killed && sentBeforeKill) || receivedIds.contains(id)) {
                faults.add("client " + number + " was not answered before the kill: " + e);
            }
        } catch (RuntimeException | AssertionError e) {
            faults.add("client " + number + ": " + e);
        }
    }

    /**
     * Waits for the client's turn to send.
     *
     * @return whether the node closed the idle connection before
     */
    private static boolean isClosedBeforeTurn(Socket connection, int number) throws IOException {
        connection.setSoTimeout(1 + number * INTERVAL_MS);
        try {
            assertEquals("no bytes without a request", -1, connection.getInputStream().read());
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            connection.setSoTimeout(1_000 * ScriptedServer.TIMEOUT_S);
        }
    }

    private static final int MAX_RUNS = 10;

    /** Starts the node and shuts it down under load. */
    private interface Run {
        void run() throws Exception;
    }

    /** Repeats a run with faults if the machine delayed threads during it. */
    private void runUndisturbed(Run run) throws Exception {
        for (int i = 1; ; i++) {
            SchedulingDelayMeter delayMeter = new SchedulingDelayMeter();
            run.run();
            delayMeter.stop();
            if (faults.isEmpty() || !delayMeter.hasReachedLimit() || i == MAX_RUNS) {
                break;
            }
            System.out.printf(
                    "void: the machine delayed a thread by %d ms; run %d: %s%n",
                    delayMeter.maxDelayMs(), i, faults);
            faults.clear();
            lateResponses.set(0);
            endpointsHang = false;
            killed = false;
        }
        assertEquals(List.of(), List.copyOf(faults));
        assertTrue("some requests sent late are answered", lateResponses.get() > 0);
    }

    private void shutDownUnderLoad(int deadlineMs, int suspendedMs) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Socket connection = cluster.connect();
            Message.send(connection, requestText(i, 1_000));
            assertEquals(cluster.log.toString(), 200, Message.read(connection).status());
            clients.add(new Thread(() -> sendRequests(connection, number, deadlineMs)));
        }
        endpointsHang = true;
        clients.forEach(Thread::start);
        cluster.terminate();
        long sigtermAt = System.nanoTime();
        if (suspendedMs > 0) {
            Thread.sleep(LATE_MS);
            cluster.signal("STOP");
            Thread.sleep(suspendedMs);
            cluster.signal("CONT");
        }
        long killAfterMs = 700L + Math.min(deadlineMs, 3_000);
        Thread.sleep(Math.max(0, killAfterMs - (System.nanoTime() - sigtermAt) / 1_000_000));
        killed = true;
        if (cluster.isRunning()) {
            cluster.signal("KILL");
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private void runWithDeadlines(int ms, int suspendedMs) throws Exception {
        runUndisturbed(
                () -> {
                    cluster.start(settings(ms), endpoint(), endpoint());
                    shutDownUnderLoad(ms, suspendedMs);
                });
    }

    @Test
    public void withDeadlinesOf150Milliseconds() throws Exception {
        runWithDeadlines(150, 0);
    }

    @Test
    public void withDeadlinesOf1200Milliseconds() throws Exception {
        runWithDeadlines(1_200, 0);
    }

    @Test
    public void withDeadlinesOf4Seconds() throws Exception {
        runWithDeadlines(4_000, 0);
    }

    @Test
    public void withDeadlinesOf10Seconds() throws Exception {
        runWithDeadlines(10_000, 0);
    }

    @Test
    public void afterTheProcessWasSuspended() throws Exception {
        runWithDeadlines(1_200, 120);
    }

    /**
     * The platform does not say by which deadlines it counts the time to a kill: maybe the newest.
     */
    @Test
    public void afterSighupHasShortenedDeadlines() throws Exception {
        runUndisturbed(
                () -> {
                    ScriptedServer endpoint = endpoint();
                    cluster.start(settings(4_000), endpoint);
                    cluster.reload(cluster.config(settings(300), endpoint));
                    cluster.awaitLogLine("configuration applied");
                    shutDownUnderLoad(300, 0);
                });
    }
}
