package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
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
import trailthread.testkit.Peer;
import trailthread.testkit.Stage;

/**
 * Each request that a node has taken has one whole answer before a kill at the earliest moment that
 * the platform allows, though endpoints hang, and clients send on every connection that stays open.
 */
public class GracefulShutdownTest {
    /** One of them sends every so often, from SIGTERM until after the last connection has ended. */
    private static final int CLIENTS = 28;

    private static final int EVERY_MS = 30;

    /** Some come after the node has begun to send clients away, and some before it does. */
    private static final int LATE_MS = 450;

    private static final String[] CLASSES = {"use", "state", "action"};
    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\w+)");
    private final Stage stage;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answeredLate = new AtomicInteger();
    private volatile boolean hangs;
    private volatile boolean killed;

    public GracefulShutdownTest() throws Exception {
        stage = new Stage();
    }

    @After
    public void end() throws Exception {
        stage.end();
    }

    private static String settings(int deadlineMs) {
        return Stage.SETTINGS
                .replace("\"aim_ns\":10000000000", "\"aim_ns\":" + deadlineMs * 800_000L)
                .replace(
                        "\"deadline_ns\":20000000000", "\"deadline_ns\":" + deadlineMs * 1_000_000L)
                .replace("\"window_ns\":20000000000", "\"window_ns\":" + deadlineMs * 1_000_000L);
    }

    private Peer endpoint() throws IOException {
        return stage.add(
                new Peer(
                        request -> {
                            ran.add(request.header("X-Correlation-Id"));
                            if (!hangs) {
                                request.answer("200 OK", "", "made");
                            }
                        }));
    }

    private static String call(int number, int deadlineMs) {
        return Stage.request(CLASSES[number % CLASSES.length], "", "")
                .replace("Left: 20.000", "Left: " + deadlineMs / 1000.0);
    }

    /**
     * Sends on a connection that idles, until it is told that the answer was the last one there.
     */
    @SuppressWarnings("AssertionFailureIgnored") // collected, and reported by the test
    private void sends(Socket connection, int number, int deadlineMs) {
        String id = "";
        try {
            Thread.sleep((long) number * EVERY_MS);
            for (Message answer = null;
                    answer == null || !"close".equals(answer.header("Connection")); ) {
                String call = call(number, deadlineMs);
                Matcher matcher = ID.matcher(call);
                assertTrue(matcher.find());
                id = matcher.group(1);
                Message.send(connection, call);
                answer = Message.read(connection);
                if (answer == null) {
                    throw new IOException("the connection has ended");
                }
                answeredLate.addAndGet(number * EVERY_MS >= LATE_MS ? 1 : 0);
            }
            assertEquals("no further answer", -1, connection.getInputStream().read());
        } catch (IOException e) {
            // One that crosses the end of an idle connection was not read, and its client sends it
            // elsewhere.
            if (killed || ran.contains(id)) {
                faults.add("client " + number + " was not answered before the kill: " + e);
            }
        } catch (InterruptedException | RuntimeException | AssertionError e) {
            faults.add("client " + number + ": " + e);
        }
    }

    /** What the machine holds up by more tells nothing of the node: it is played again. */
    private static final int HELD_UP_MS = 30;

    private static final int MOST_PLAYS = 10;

    /** Tells how long a thread that only wants to sleep is kept off the cores. */
    private static final class Metronome extends Thread {
        private volatile boolean over;
        private volatile long worstMs;

        @Override
        public void run() {
            for (long at = System.nanoTime(); !over; at = System.nanoTime()) {
                try {
                    Thread.sleep(1);
                } catch (InterruptedException e) {
                    throw new AssertionError(e);
                }
                worstMs = Math.max(worstMs, (System.nanoTime() - at) / 1_000_000);
            }
        }
    }

    /** Starts the node and ends it so. */
    private interface Play {
        void run() throws Exception;
    }

    private void plays(Play play) throws Exception {
        for (int i = 1; ; i++) {
            Metronome metronome = new Metronome();
            metronome.start();
            play.run();
            metronome.over = true;
            metronome.join();
            if (faults.isEmpty() || metronome.worstMs < HELD_UP_MS || i == MOST_PLAYS) {
                break;
            }
            faults.clear();
            answeredLate.set(0);
            hangs = false;
            killed = false;
        }
        assertEquals(List.of(), List.copyOf(faults));
        assertTrue("some requests come late", answeredLate.get() > 0);
    }

    private void ends(int deadlineMs, int pausedMs) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Socket connection = stage.connect();
            Message.send(connection, call(i, 1_000));
            assertEquals(200, Message.read(connection).status());
            clients.add(new Thread(() -> sends(connection, number, deadlineMs)));
        }
        hangs = true;
        long askedAt = System.nanoTime();
        clients.forEach(Thread::start);
        stage.terminate();
        if (pausedMs > 0) {
            Thread.sleep(LATE_MS);
            stage.signal("STOP");
            Thread.sleep(pausedMs);
            stage.signal("CONT");
        }
        long killedMs = 700L + Math.min(deadlineMs, 3_000);
        Thread.sleep(Math.max(0, killedMs - (System.nanoTime() - askedAt) / 1_000_000));
        killed = true;
        if (stage.isRunning()) {
            stage.signal("KILL");
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private void withDeadlinesOf(int ms, int pausedMs) throws Exception {
        plays(
                () -> {
                    stage.start(settings(ms), endpoint(), endpoint());
                    ends(ms, pausedMs);
                });
    }

    @Test
    public void withDeadlinesOf150Milliseconds() throws Exception {
        withDeadlinesOf(150, 0);
    }

    @Test
    public void withDeadlinesOf1200Milliseconds() throws Exception {
        withDeadlinesOf(1_200, 0);
    }

    @Test
    public void withDeadlinesOf4Seconds() throws Exception {
        withDeadlinesOf(4_000, 0);
    }

    @Test
    public void withDeadlinesOf10Seconds() throws Exception {
        withDeadlinesOf(10_000, 0);
    }

    @Test
    public void afterAPauseOfTheNode() throws Exception {
        withDeadlinesOf(1_200, 120);
    }

    /** Which deadlines the platform counts by is not said: it may be the newest. */
    @Test
    public void afterSighupHasShortenedDeadlines() throws Exception {
        plays(
                () -> {
                    Peer endpoint = endpoint();
                    stage.start(settings(4_000), endpoint);
                    stage.reload(stage.config(settings(300), endpoint));
                    stage.logged("configuration taken over");
                    ends(300, 0);
                });
    }
}
