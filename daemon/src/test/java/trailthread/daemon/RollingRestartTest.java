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
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** No request is lost or runs twice in a rolling restart of two nodes under load. */
public class RollingRestartTest {
    private static final int CLIENTS = 12;
    private static final int MAX_ATTEMPTS = 400;
    private static final int STOPPED_MS = 100;
    private static final int SLOW_MS = 400;
    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\w+)");
    private final TestCluster[] nodes = new TestCluster[2];

    /** How often endpoints received each request, by its id. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    private final Map<Integer, Integer> responses = new ConcurrentHashMap<>();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private volatile boolean over;

    /**
     * Whether the nodes shut down on a slow machine, simulated by stopping their processes again
     * and again; endpoints and clients are slow then as well.
     */
    private boolean slowed;

    @After
    public void end() throws Exception {
        over = true;
        for (TestCluster node : nodes) {
            node.close();
        }
    }

    /**
     * A client that sends one request after another, on a connection that it keeps open as long as
     * possible.
     */
    private final class Client extends Thread {
        private int nodeIndex;
        private final int number;
        private Socket connection;

        Client(int number) {
            this.number = number;
            nodeIndex = number % 2;
        }

        @Override
        public void run() {
            try {
                // So that some requests are in flight at each shutdown.
                sleep(slowed ? number * SLOW_MS / CLIENTS * 2L : 0);
                for (int i = 0; !over; i++) {
                    String requestClass = i % 2 == 0 ? "use" : "state";
                    int attempts = 1;
                    while (!isAnswered(TestCluster.requestText(requestClass, "", ""))
                            && attempts++ < MAX_ATTEMPTS) {
                        nodeIndex = 1 - nodeIndex;
                        sleep(5);
                    }
                    if (attempts > MAX_ATTEMPTS) {
                        faults.add("a request was never answered");
                    }
                    sleep(slowed ? SLOW_MS : 5);
                }
                if (connection != null) {
                    connection.close();
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                faults.add(e.toString());
            }
        }

        private boolean isAnswered(String requestText) throws IOException {
            if (connection == null) {
                try {
                    connection =
                            new Socket(InetAddress.getLoopbackAddress(), nodes[nodeIndex].port);
                } catch (ConnectException e) {
                    return false;
                }
                connection.setSoTimeout(1000 * ScriptedServer.TIMEOUT_S);
            }
            Matcher id = ID.matcher(requestText);
            assertTrue(id.find());
            Message response;
            try {
                Message.send(connection, requestText);
                response = Message.read(connection);
            } catch (IOException e) {
                // If a node closes late, a request may cross the close and be reset unread.
                if (!slowed) {
                    faults.add(id.group(1) + " ran " + runs.get(id.group(1)) + " times, then " + e);
                }
                connection.close();
                connection = null;
                return false;
            }
            if (response == null) {
                if (runs.containsKey(id.group(1))) {
                    faults.add(id.group(1) + " ran and was not answered");
                }
            } else {
                responses.merge(response.status(), 1, Integer::sum);
                answered.add(id.group(1));
            }
            if (response == null) {
                connection.close();
                connection = null;
            } else if ("close".equals(response.header("Connection"))) {
                connection.close();
                connection = null;
                nodeIndex = 1 - nodeIndex; // the node moves its clients to the other
            }
            return response != null;
        }
    }

    @Test
    public void noRequestIsLostOrRunsTwice() throws Exception {
        restartInTurn();
    }

    /**
     * The process that shuts down runs for only a third of the time, as on an overcommitted
     * machine.
     */
    @Test
    public void noRequestIsLostOrRunsTwiceOnASlowMachine() throws Exception {
        slowed = true;
        restartInTurn();
    }

    /** Stops and continues the node's process, again and again, until it has ended. */
    private static Thread slowDown(TestCluster node) {
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

    private void restartInTurn() throws Exception {
        ScriptedServer[] endpoints = new ScriptedServer[2];
        for (int i = 0; i < 2; i++) {
            nodes[i] = new TestCluster();
            endpoints[i] =
                    nodes[i].closeAtEnd(
                            new ScriptedServer(
                                    request -> {
                                        runs.merge(
                                                request.header("X-Correlation-Id"),
                                                1,
                                                Integer::sum);
                                        LockSupport.parkNanos(slowed ? SLOW_MS * 1_000_000L : 0);
                                        request.respond("200 OK", "", "made");
                                    }));
        }
        for (TestCluster node : nodes) {
            node.start(TestCluster.SETTINGS, endpoints);
        }
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(i));
            clients.get(i).start();
        }
        for (TestCluster node : nodes) {
            Thread.sleep(1000);
            Thread slowDown = slowed ? slowDown(node) : new Thread();
            node.terminate();
            assertEquals(0, node.exitStatus());
            slowDown.join();
            node.start(TestCluster.SETTINGS, endpoints);
        }
        Thread.sleep(500);
        over = true;
        for (Client client : clients) {
            client.join();
        }
        assertEquals(List.of(), List.copyOf(faults));
        assertTrue(
                "answered: " + responses,
                responses.get(200) > 50
                        && responses.keySet().stream()
                                .allMatch(status -> status == 200 || status == 503));
        runs.forEach((id, times) -> assertEquals(id, 1, (int) times));
        assertTrue("all that ran was answered", answered.containsAll(runs.keySet()));
    }
}
