package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.Peer;
import trailthread.testkit.Stage;

/**
 * Guards against calls that are lost or run twice while a pair of nodes is restarted in turn under
 * load.
 */
public class RollingRestartTest {
    private static final int CLIENTS = 12;
    private static final int MOST_TRIES = 400;
    private static final int STOPPED_MS = 100;
    private static final int SLOW_MS = 400;
    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\w+)");
    private final Stage[] nodes = new Stage[2];

    /** How often each id ran at the endpoints. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    private final Map<Integer, Integer> answers = new ConcurrentHashMap<>();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private volatile boolean over;

    /**
     * The nodes end on a machine that stops them again and again; endpoints and clients take their
     * time.
     */
    private boolean slowed;

    @After
    public void end() throws Exception {
        over = true;
        for (Stage node : nodes) {
            node.end();
        }
    }

    /**
     * A client that makes one call after another, on a connection that it keeps for as long as it
     * may.
     */
    private final class Client extends Thread {
        private int at;
        private final int number;
        private Socket kept;

        Client(int number) {
            this.number = number;
            at = number % 2;
        }

        @Override
        public void run() {
            try {
                sleep(
                        slowed
                                ? number * SLOW_MS / CLIENTS * 2L
                                : 0); // so that some are at work whenever the node ends
                for (int i = 0; !over; i++) {
                    String requestClass = i % 2 == 0 ? "use" : "state";
                    int tries = 1;
                    while (!isAnswered(Stage.request(requestClass, "", ""))
                            && tries++ < MOST_TRIES) {
                        at = 1 - at;
                        sleep(5);
                    }
                    if (tries > MOST_TRIES) {
                        faults.add("a call was never answered");
                    }
                    sleep(slowed ? SLOW_MS : 5);
                }
                if (kept != null) {
                    kept.close();
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                faults.add(e.toString());
            }
        }

        private boolean isAnswered(String call) throws IOException {
            if (kept == null) {
                try {
                    kept = new Socket(InetAddress.getLoopbackAddress(), nodes[at].port);
                } catch (ConnectException e) {
                    return false;
                }
                kept.setSoTimeout(1000 * Peer.LONGEST_WAIT_S);
            }
            Matcher id = ID.matcher(call);
            assertTrue(id.find());
            Message answer;
            try {
                Message.send(kept, call);
                answer = Message.read(kept);
            } catch (IOException e) {
                if (!slowed) { // where a node closes late, a call may cross that, and is reset
                    // unread
                    faults.add(id.group(1) + " ran " + runs.get(id.group(1)) + " times, then " + e);
                }
                kept.close();
                kept = null;
                return false;
            }
            if (answer == null) {
                if (runs.containsKey(id.group(1))) {
                    faults.add(id.group(1) + " ran and was not answered");
                }
            } else {
                answers.merge(answer.status(), 1, Integer::sum);
                answered.add(id.group(1));
            }
            if (answer == null) {
                kept.close();
                kept = null;
            } else if ("close".equals(answer.header("Connection"))) {
                kept.close();
                kept = null;
                at = 1 - at; // it is told to go elsewhere
            }
            return answer != null;
        }
    }

    @Test
    public void noCallIsLostOrRunsTwice() throws Exception {
        restarts();
    }

    /**
     * On a machine that runs the ending node for a third of the time, as one with too many guests
     * does.
     */
    @Test
    public void noneIsOnASlowedMachineEither() throws Exception {
        slowed = true;
        restarts();
    }

    /** Stops the node's process and lets it go on, again and again, until it has ended. */
    private static Thread slows(Stage node) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (node.isRunning()) {
                                    node.signal("STOP");
                                    Thread.sleep(STOPPED_MS);
                                    node.signal("CONT");
                                    Thread.sleep(STOPPED_MS / 2);
                                }
                            } catch (IOException | InterruptedException | AssertionError e) {
                                // it has ended meanwhile
                            }
                        });
        thread.start();
        return thread;
    }

    private void restarts() throws Exception {
        Peer[] endpoints = new Peer[2];
        for (int i = 0; i < 2; i++) {
            nodes[i] = new Stage();
            endpoints[i] =
                    nodes[i].add(
                            new Peer(
                                    request -> {
                                        runs.merge(
                                                request.header("X-Correlation-Id"),
                                                1,
                                                Integer::sum);
                                        LockSupport.parkNanos(slowed ? SLOW_MS * 1_000_000L : 0);
                                        request.answer("200 OK", "", "made");
                                    }));
        }
        for (Stage node : nodes) {
            node.start(Stage.SETTINGS, endpoints);
        }
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(i));
            clients.get(i).start();
        }
        for (Stage node : nodes) {
            Thread.sleep(1000);
            Thread slows = slowed ? slows(node) : new Thread();
            node.terminate();
            assertEquals(0, node.exitStatus());
            slows.join();
            node.start(Stage.SETTINGS, endpoints);
        }
        Thread.sleep(500);
        over = true;
        for (Client client : clients) {
            client.join();
        }
        assertEquals(List.of(), List.copyOf(faults));
        assertTrue(
                "answered: " + answers,
                answers.get(200) > 50
                        && answers.keySet().stream()
                                .allMatch(status -> status == 200 || status == 503));
        runs.forEach((id, times) -> assertEquals(id, 1, (int) times));
        assertTrue("all that ran was answered", answered.containsAll(runs.keySet()));
    }
}
