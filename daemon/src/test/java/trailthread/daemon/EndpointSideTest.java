package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** What the node sends to endpoints, and how it handles their responses, over real sockets. */
public class EndpointSideTest {
    private final TestCluster cluster;

    public EndpointSideTest() throws Exception {
        cluster = new TestCluster();
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }

    /**
     * Starts a node with two endpoints. The script responds to the first request; all others are
     * served.
     */
    private ScriptedServer[] startWithFirstRequest(ScriptedServer.Script firstScript)
            throws Exception {
        AtomicInteger requests = new AtomicInteger();
        ScriptedServer.Script script =
                request -> {
                    if (requests.getAndIncrement() == 0) {
                        firstScript.respond(request);
                    } else {
                        request.respond("200 OK", "", "made");
                    }
                };
        ScriptedServer[] endpoints = {
            cluster.closeAtEnd(new ScriptedServer(script)),
            cluster.closeAtEnd(new ScriptedServer(script))
        };
        cluster.start(TestCluster.SETTINGS, endpoints);
        return endpoints;
    }

    private static int requestCount(ScriptedServer... endpoints) {
        return endpoints[0].requests.size() + endpoints[1].requests.size();
    }

    @Test
    public void anUnprocessedRequestIsRetriedElsewhere() throws Exception {
        ScriptedServer[] endpoints =
                startWithFirstRequest(
                        request -> request.respond("503 Full", "X-Unprocessed: 1\r\n", ""));
        assertEquals("made", cluster.sendRequest("use").body());
        assertEquals(2, requestCount(endpoints));
    }

    @Test
    public void aRequestWhoseConnectionIsRefusedIsRetriedElsewhere() throws Exception {
        ScriptedServer gone = new ScriptedServer(request -> {});
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, gone, endpoint);
        gone.close();
        for (int i = 0; i < 5; i++) {
            assertEquals("made", cluster.sendRequest("use").body());
        }
    }

    @Test
    public void anIdempotentRequestIsRetried() throws Exception {
        ScriptedServer[] endpoints = startWithFirstRequest(request -> request.connection().close());
        assertEquals("made", cluster.sendRequest("state").body());
        assertEquals(2, requestCount(endpoints));
    }

    /**
     * Prevents an endpoint's own 503 from being forwarded as the node's rejection, and a malformed
     * response from being forwarded at all.
     */
    @Test
    public void aRequestThatIsNotIdempotentAndMayHaveRunIsNotRetried() throws Exception {
        List<ScriptedServer.Script> failures = new ArrayList<>();
        for (String status : List.of("500 Error", "503 Busy", "429 Many", "404 Unknown")) {
            failures.add(
                    request ->
                            request.respond(status, "X-Other: 1\r\n", "x".repeat(64 * 1024 + 1)));
        }
        for (String response :
                List.of(
                        "",
                        "nonsense\r\n\r\n",
                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nm",
                        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                        "HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n",
                        "HTTP/1.1 2")) {
            failures.add(
                    request -> {
                        Message.send(request.connection(), response);
                        request.connection().close();
                    });
        }
        AtomicInteger turn = new AtomicInteger();
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> failures.get(turn.getAndIncrement()).respond(request)));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (int i = 0; i < failures.size(); i++) {
            assertEquals("failure " + i, 502, cluster.sendRequest("use").status());
            assertEquals("failure " + i, i + 1, endpoint.requests.size());
        }
    }

    /**
     * Prevents the first attempt from staying in flight beside the second: Undertow's own close
     * does not take effect while a request is in flight.
     */
    @Test
    public void aTimedOutAttemptIsClosedBeforeTheNextIsSent() throws Exception {
        ScriptedServer[] endpoints =
                startWithFirstRequest(request -> request.respond("200 OK", "", "made"));
        // Gives the module a latency estimate for its timeouts.
        assertEquals("made", cluster.sendRequest("state").body());
        ScriptedServer.Script silent = request -> {};
        List<Integer> closedBefore = new ArrayList<>();
        for (ScriptedServer endpoint : endpoints) {
            endpoint.setScript(
                    request -> {
                        for (ScriptedServer other : endpoints) {
                            other.setScript(
                                    second -> {
                                        closedBefore.add(awaitClosedConnections(endpoints));
                                        second.respond("200 OK", "", "made");
                                    });
                        }
                        silent.respond(request);
                    });
        }
        assertEquals("made", cluster.sendRequest("state").body());
        assertEquals(List.of(1), closedBefore);
    }

    /**
     * Waits until a connection has been closed, which an endpoint records on a thread of its own.
     *
     * @return the number of closed connections
     */
    private static int awaitClosedConnections(ScriptedServer... endpoints) throws IOException {
        try {
            for (int i = 0;
                    i < 500
                            && endpoints[0].closedConnections.size()
                                            + endpoints[1].closedConnections.size()
                                    == 0;
                    i++) {
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return endpoints[0].closedConnections.size() + endpoints[1].closedConnections.size();
    }

    @Test
    public void idleConnectionsAreClosedBeforeTheEndpointClosesThem() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        String settings = TestCluster.SETTINGS.replace("idle_close_ns\":60", "idle_close_ns\":1");
        cluster.start(settings, endpoint);
        assertEquals("made", cluster.sendRequest("use").body());
        Socket idle = endpoint.closedConnections.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals(endpoint.takeRequest().connection(), idle);
        assertEquals("made", cluster.sendRequest("use").body());
        assertNotEquals(idle, endpoint.takeRequest().connection());
    }

    /**
     * At the descriptor limit, an idle connection is closed to make room for one to another
     * endpoint.
     */
    @Test
    public void moreEndpointsThanConnectionsAreAllReached() throws Exception {
        ScriptedServer[] endpoints = new ScriptedServer[20];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] =
                    cluster.closeAtEnd(
                            new ScriptedServer(
                                    request -> {
                                        // A clear difference in latency, so that each endpoint is
                                        // used.
                                        LockSupport.parkNanos(5_000_000);
                                        request.respond("200 OK", "", "made");
                                    }));
        }
        cluster.descriptorLimit = 96; // 16 connections to endpoints
        cluster.start(TestCluster.SETTINGS, endpoints);
        Socket client = cluster.connect();
        for (int i = 0; i < 500; i++) {
            Message.send(client, TestCluster.requestText("use", "", ""));
            assertEquals("made", Message.read(client).body());
        }
        for (ScriptedServer endpoint : endpoints) {
            endpoint.takeRequest();
        }
    }

    /**
     * The drain is announced while a connect hangs: no byte of the request may be written after it.
     */
    @Test
    public void nothingIsSentToAnEndpointThatBeganToDrain() throws Exception {
        ScriptedServer serving = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        try (ServerSocket hanging = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> backlog = new ArrayList<>(); // is full, so that a connect hangs
            while (backlog.size() < 2) {
                backlog.add(new Socket(InetAddress.getLoopbackAddress(), hanging.getLocalPort()));
            }
            String list =
                    TestCluster.endpointListJson(1, true, "active", serving)
                            .replace(serving.hostPort(), "127.0.0.1:" + hanging.getLocalPort());
            cluster.start(TestCluster.SETTINGS);
            Message watch = cluster.discovery.takeRequest();
            TestCluster.sendWatchLine(watch, list);
            Socket client = cluster.connect();
            Message.send(client, TestCluster.requestText("use", "", ""));
            // The connect hangs by now; if not, the test passes without proving much.
            Thread.sleep(200);
            TestCluster.sendWatchLine(
                    watch,
                    list.replace("active", "leaving").replace("generation\":1", "generation\":2"));
            cluster.sendRequest("other");
            for (int i = 0; i < backlog.size(); i++) {
                hanging.accept().close();
            }
            try (Socket late = hanging.accept()) { // the connect completes, seconds later
                TestCluster.sendWatchLine(
                        watch,
                        TestCluster.endpointListJson(3, true, "active", serving)
                                .replace("w0", "w1"));
                assertEquals("made", Message.read(client).body());
                late.setSoTimeout(1);
                assertEquals("nothing was sent", 0, late.getInputStream().available());
            }
        }
    }
}
