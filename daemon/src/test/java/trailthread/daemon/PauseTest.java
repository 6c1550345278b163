package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** No request is lost or runs twice while the node is stopped or endpoints are silent. */
public class PauseTest {
    private static final int IN_FLIGHT = 6;
    private static final int KEPT_ALIVE = 8;
    private static final int NEW = 20;

    /** Short objectives and deadlines, so that the module soon uses a silent endpoint again. */
    private static final String SHORT_DEADLINES =
            TestCluster.SETTINGS
                    .replace("\"aim_ns\":10000000000", "\"aim_ns\":500000000")
                    .replace("\"deadline_ns\":20000000000", "\"deadline_ns\":2000000000");

    private final TestCluster cluster;

    public PauseTest() throws Exception {
        cluster = new TestCluster();
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }

    private Socket send(Socket client, int number) throws Exception {
        Message.send(client, TestCluster.requestText(number % 2 == 0 ? "use" : "state", "", ""));
        return client;
    }

    private static void assertServed(List<Socket> clients) throws Exception {
        for (int i = 0; i < clients.size(); i++) {
            Message response = Message.read(clients.get(i));
            assertTrue("client " + i + " got no response", response != null);
            assertEquals("client " + i, 200, response.status());
        }
    }

    /** Counts the requests that endpoints received, and checks that none ran twice. */
    private static int countRequestsRunOnce(ScriptedServer... endpoints) {
        Set<String> ids = new HashSet<>();
        for (ScriptedServer endpoint : endpoints) {
            for (Message request : endpoint.requests) {
                assertTrue("ran twice: " + request, ids.add(request.header("X-Correlation-Id")));
            }
        }
        return ids.size();
    }

    @Test
    public void requestsSentToAStoppedNodeAreServedAndRunOnce() throws Exception {
        cluster.descriptorLimit = 96; // 28 connections to clients: fewer than there are clients
        ScriptedServer[] endpoints = {
            cluster.closeAtEnd(ScriptedServer.respondingWith("made")),
            cluster.closeAtEnd(ScriptedServer.respondingWith("made"))
        };
        cluster.start(TestCluster.SETTINGS, endpoints);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < KEPT_ALIVE; i++) {
            clients.add(send(cluster.connect(), i));
            assertServed(clients.subList(i, i + 1));
        }
        CountDownLatch resume = new CountDownLatch(1);
        CountDownLatch inFlight = new CountDownLatch(IN_FLIGHT);
        for (ScriptedServer endpoint : endpoints) {
            endpoint.setScript(
                    request -> {
                        inFlight.countDown();
                        try {
                            resume.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                        request.respond("200 OK", "", "made");
                    });
        }
        for (int i = 0; i < IN_FLIGHT; i++) {
            clients.add(send(cluster.connect(), i));
        }
        assertTrue(
                "requests are in flight",
                inFlight.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));

        cluster.signal("STOP");
        resume.countDown();
        for (int i = 0; i < KEPT_ALIVE; i++) {
            send(clients.get(i), i);
        }
        for (int i = 0; i < NEW; i++) {
            clients.add(send(cluster.connect(), i));
        }
        Thread.sleep(2000);
        cluster.signal("CONT");

        assertServed(clients);
        assertEquals(KEPT_ALIVE + IN_FLIGHT + KEPT_ALIVE + NEW, countRequestsRunOnce(endpoints));
        assertEquals("made", cluster.sendRequest("use").body());
        assertEquals("made", cluster.sendRequest("state").body());
    }

    @Test
    public void silentEndpointsBlockNothingAndAreUsedAgainOnceTheyRespond() throws Exception {
        ScriptedServer.Script respond = request -> request.respond("200 OK", "", "made");
        ScriptedServer[] endpoints = {
            cluster.closeAtEnd(new ScriptedServer(respond)),
            cluster.closeAtEnd(new ScriptedServer(respond)),
            cluster.closeAtEnd(new ScriptedServer(respond)),
            cluster.closeAtEnd(new ScriptedServer(respond))
        };
        cluster.start(SHORT_DEADLINES, endpoints);
        for (int i = 0; i < 200; i++) {
            assertEquals(200, cluster.sendRequest("state").status());
        }
        for (ScriptedServer endpoint : endpoints) {
            endpoint.requests.clear();
        }
        ScriptedServer[] silent = {endpoints[0], endpoints[1]};
        for (ScriptedServer endpoint : silent) {
            endpoint.setScript(request -> {});
        }
        List<Socket> clients = new ArrayList<>();
        while (silent[0].requests.isEmpty() && silent[1].requests.isEmpty()) {
            Socket client = cluster.connect();
            Message.send(
                    client, TestCluster.requestText("use", "", "").replace("Left: 20", "Left: 3"));
            clients.add(client);
            Thread.sleep(10);
        }
        for (Socket client : clients) {
            int status = Message.read(client).status();
            assertTrue("status " + status, status == 200 || status == 502);
        }
        assertEquals(clients.size(), countRequestsRunOnce(endpoints));

        for (int i = 0; i < 20; i++) {
            assertEquals("made", cluster.sendRequest("state").body());
        }
        for (ScriptedServer endpoint : silent) {
            endpoint.setScript(respond);
            endpoint.requests.clear();
        }
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * ScriptedServer.TIMEOUT_S);
        while (silent[0].requests.isEmpty() || silent[1].requests.isEmpty()) {
            assertTrue("used again", System.nanoTime() < limit);
            assertEquals("made", cluster.sendRequest("state").body());
            Thread.sleep(10);
        }
    }
}
