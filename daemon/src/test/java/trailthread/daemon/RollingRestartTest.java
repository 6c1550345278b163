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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.Peer;
import trailthread.testkit.Stage;

/** Guards against calls that are lost or run twice while a pair of nodes is restarted in turn under load. */
public class RollingRestartTest {
    private static final int CLIENTS = 6;
    private static final int MOST_TRIES = 400;
    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\w+)");
    private final Stage[] nodes = new Stage[2];
    /** How often each id ran at the workers. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> answers = new ConcurrentHashMap<>();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private volatile boolean over;

    @After
    public void end() throws Exception {
        over = true;
        for (Stage node : nodes) {
            node.end();
        }
    }

    /** A client that makes one call after another, on a connection that it keeps for as long as it may. */
    private final class Client extends Thread {
        private int at;
        private Socket kept;

        Client(int number) {
            at = number % 2;
        }

        @Override
        public void run() {
            try {
                for (int i = 0; !over; i++) {
                    String requestClass = i % 2 == 0 ? "use" : "state";
                    int tries = 1;
                    while (!isAnswered(Stage.request(requestClass, "", "")) && tries++ < MOST_TRIES) {
                        at = 1 - at;
                        sleep(5);
                    }
                    if (tries > MOST_TRIES) {
                        faults.add("a call was never answered");
                    }
                    sleep(5);
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
                faults.add(id.group(1) + " ran " + runs.get(id.group(1)) + " times, then " + e);
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
        Peer[] workers = new Peer[2];
        for (int i = 0; i < 2; i++) {
            nodes[i] = new Stage();
            workers[i] = nodes[i].add(new Peer(request -> {
                runs.merge(request.header("X-Correlation-Id"), 1, Integer::sum);
                request.answer("200 OK", "", "made");
            }));
        }
        for (Stage node : nodes) {
            node.start(Stage.SETTINGS, workers);
        }
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(i));
            clients.get(i).start();
        }
        for (Stage node : nodes) {
            Thread.sleep(1000);
            node.terminate();
            assertEquals(0, node.exitStatus());
            node.start(Stage.SETTINGS, workers);
        }
        Thread.sleep(500);
        over = true;
        for (Client client : clients) {
            client.join();
        }
        assertEquals(List.of(), List.copyOf(faults));
        assertTrue("answered: " + answers, answers.get(200) > 100 && answers.keySet().stream()
                .allMatch(status -> status == 200 || status == 503));
        runs.forEach((id, times) -> assertEquals(id, 1, (int) times));
    }
}
