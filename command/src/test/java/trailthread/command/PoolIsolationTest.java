package trailthread.command;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;

/** A pool that is overloaded or hangs does not affect the others. */
public class PoolIsolationTest extends TwoServicesFixture {
    public PoolIsolationTest() throws Exception {}

    private String fileWithShortMarksTimeouts(String marksEndpoints) {
        return file(endpointsKey(sim), "attempts = 2\n" + marksEndpoints)
                .replace(
                        "[pools.marks]\naim = \"10s\"\ndeadline = \"20s\"\nconnect_within = \"10s\"",
                        "[pools.marks]\naim = \"1s\"\ndeadline = \"3s\"\nconnect_within = \"300ms\"");
    }

    /**
     * Sends the pool marks more requests at once than may be in flight, each on its own connection.
     */
    private void overloadMarks() throws IOException {
        for (int i = 0; i < 110; i++) { // the limits are 124 clients and 83 requests
            Message.send(
                    cluster.connect(),
                    requestHead("POST", "/x", "marks.example.org", "Content-Length: 0\r\n"));
        }
    }

    /** Checks that the pool sim serves every request with a single attempt. */
    private void assertSimIsUnaffected() throws Exception {
        int before = sim.requests.size();
        try (Socket client = cluster.connect()) {
            for (int i = 0; i < 40; i++) {
                Message.send(client, requestHead("GET", "/x", "sim.example.org", ""));
                Message response = Message.read(client);
                assertNotNull("the connection was closed", response);
                assertEquals(response.startLine(), "sim", response.body());
                assertEquals("sim", sendRequest("GET", "/x", "sim.example.org", "").body());
            }
        }
        assertEquals("attempts", before + 80, sim.requests.size());
    }

    /** The endpoints of the pool that hangs accept requests and never respond. */
    @Test
    public void aPoolThatHangsDoesNotAffectOthers() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        marks.setScript(
                request -> {
                    try {
                        never.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                });
        cluster.startWithOperatorFile(fileWithShortMarksTimeouts(endpointsKey(marks)));
        overloadMarks();
        assertSimIsUnaffected();
        never.countDown();
    }

    /** Connects to the endpoints of the pool that hangs never complete. */
    @Test
    public void aPoolThatHangsOnConnectDoesNotAffectOthers() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            cluster.startWithOperatorFile(
                    fileWithShortMarksTimeouts(
                            "workers = [\"127.0.0.1:" + full.getLocalPort() + "\"]"));
            overloadMarks();
            assertSimIsUnaffected();
            assertTrue(first.isConnected() && second.isConnected());
        }
    }

    /** The endpoints of the slow pool send one byte a second. */
    @Test
    public void aPoolThatRespondsSlowlyDoesNotAffectOthers() throws Exception {
        marks.setScript(
                request -> {
                    Message.send(
                            request.connection(), "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
                    for (int i = 0; i < 5; i++) {
                        Message.send(request.connection(), "x");
                        try {
                            Thread.sleep(1000);
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                    }
                });
        cluster.startWithOperatorFile(fileWithShortMarksTimeouts(endpointsKey(marks)));
        overloadMarks();
        assertSimIsUnaffected();
    }

    /**
     * Connections without a request belong to no pool, and do not count against the limits of
     * requests.
     */
    @Test
    public void silentConnectionsDoNotAffectAnyPool() throws Exception {
        startBothServices();
        for (int i = 0; i < 200; i++) { // the limit is 124 clients
            cluster.connect();
        }
        assertSimIsUnaffected();
        assertEquals("marks", sendRequest("GET", "/x", "marks.example.org", "").body());
    }

    /** Prevents the longest idle connections from being closed when another service has a crowd. */
    @Test
    public void idleClientsStayConnectedWhileAnotherServiceHasACrowd() throws Exception {
        startBothServices();
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            kept.add(cluster.connect());
            Message.send(kept.get(i), requestHead("GET", "/x", "sim.example.org", ""));
            assertEquals("sim", Message.read(kept.get(i)).body());
        }
        for (int i = 0; i < 150; i++) { // the limit is 124 clients
            Socket crowd = cluster.connect();
            Message.send(crowd, requestHead("GET", "/x", "marks.example.org", ""));
            assertEquals("marks", Message.read(crowd).body());
        }
        Thread.sleep(500); // longer than any time after which idle connections are closed at once
        for (Socket client : kept) {
            Message.send(client, requestHead("GET", "/x", "sim.example.org", ""));
            Message response = Message.read(client);
            assertNotNull("an idle connection was closed to make room for others", response);
            assertEquals("sim", response.body());
        }
    }

    /** Bodies over a pool's limit are rejected; bodies of another pool are not. */
    @Test
    public void bodyMemoryLimitsAreSeparatePerPool() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        marks.setScript(
                request -> {
                    try {
                        respond.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                    request.respond("200 OK", "", "kept");
                });
        cluster.startWithOperatorFile(
                file(
                        endpointsKey(sim),
                        endpointsKey(marks)
                                + "[pools.marks.limits]\nbody_memory_guaranteed = \"64KiB\"\n"
                                + "body_memory_most = \"100KiB\"\n"));
        String body = "x".repeat(50 * 1024);
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            waiting.add(cluster.connect());
            Message.send(
                    waiting.get(i),
                    requestHead("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n")
                            + body);
            marks.takeRequest();
        }
        Socket third = cluster.connect();
        Message.send(
                third,
                requestHead("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals("over the limit", 503, Message.read(third).status());
        Socket other = cluster.connect();
        Message.send(
                other,
                requestHead("POST", "/x", "sim.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals("sim", Message.read(other).body());
        assertEquals(body, sim.takeRequest().body());
        respond.countDown();
        for (Socket client : waiting) {
            assertEquals("kept", Message.read(client).body());
        }
        Socket again = cluster.connect();
        Message.send(
                again,
                requestHead("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals(
                "the memory of earlier bodies is free again", "kept", Message.read(again).body());
    }
}
