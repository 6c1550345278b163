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
public class PoolIsolationTest extends WithTwoServices {
    public PoolIsolationTest() throws Exception {}

    private String overloaded(String marksEndpoints) {
        return file(endpoints(sim), "attempts = 2\n" + marksEndpoints)
                .replace(
                        "[pools.marks]\naim = \"10s\"\ndeadline = \"20s\"\nconnect_within = \"10s\"",
                        "[pools.marks]\naim = \"1s\"\ndeadline = \"3s\"\nconnect_within = \"300ms\"");
    }

    /** Sends more requests at once than may be in flight, each on its own connection. */
    private void crowdMarks() throws IOException {
        for (int i = 0; i < 110; i++) { // the limits are 124 clients and 83 requests
            Message.send(
                    cluster.connect(),
                    request("POST", "/x", "marks.example.org", "Content-Length: 0\r\n"));
        }
    }

    /** Checks that every request is served by a single attempt. */
    private void simIsServedAsIfAlone() throws Exception {
        int before = sim.requests.size();
        try (Socket kept = cluster.connect()) {
            for (int i = 0; i < 40; i++) {
                Message.send(kept, request("GET", "/x", "sim.example.org", ""));
                Message answer = Message.read(kept);
                assertNotNull("its connection was closed", answer);
                assertEquals(answer.startLine(), "sim", answer.body());
                assertEquals("sim", ask("GET", "/x", "sim.example.org", "").body());
            }
        }
        assertEquals("attempts", before + 80, sim.requests.size());
    }

    /** Its endpoints accept requests and never respond. */
    @Test
    public void aPoolThatHangsDoesNotAffectOthers() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        marks.setScript(
                asked -> {
                    try {
                        never.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                });
        cluster.startWithOperatorFile(overloaded(endpoints(marks)));
        crowdMarks();
        simIsServedAsIfAlone();
        never.countDown();
    }

    /** Connects to its endpoints never complete. */
    @Test
    public void aPoolThatHangsOnConnectDoesNotAffectOthers() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            cluster.startWithOperatorFile(
                    overloaded("workers = [\"127.0.0.1:" + full.getLocalPort() + "\"]"));
            crowdMarks();
            simIsServedAsIfAlone();
            assertTrue(first.isConnected() && second.isConnected());
        }
    }

    /** Its endpoints send one byte a second. */
    @Test
    public void aPoolThatRespondsSlowlyDoesNotAffectOthers() throws Exception {
        marks.setScript(
                asked -> {
                    Message.send(
                            asked.connection(), "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
                    for (int i = 0; i < 5; i++) {
                        Message.send(asked.connection(), "x");
                        try {
                            Thread.sleep(1000);
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                    }
                });
        cluster.startWithOperatorFile(overloaded(endpoints(marks)));
        crowdMarks();
        simIsServedAsIfAlone();
    }

    /**
     * Without a request they belong to no pool, and do not count against the limits of requests.
     */
    @Test
    public void silentConnectionsDoNotAffectAnyPool() throws Exception {
        serve();
        for (int i = 0; i < 200; i++) { // the limit is 124 clients
            cluster.connect();
        }
        simIsServedAsIfAlone();
        assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
    }

    /** Prevents the longest idle connections from being closed whichever service they belong to. */
    @Test
    public void idleClientsOfAServiceAreKeptDuringACrowdOfAnother() throws Exception {
        serve();
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            kept.add(cluster.connect());
            Message.send(kept.get(i), request("GET", "/x", "sim.example.org", ""));
            assertEquals("sim", Message.read(kept.get(i)).body());
        }
        for (int i = 0; i < 150; i++) { // the limit is 124 clients
            Socket crowd = cluster.connect();
            Message.send(crowd, request("GET", "/x", "marks.example.org", ""));
            assertEquals("marks", Message.read(crowd).body());
        }
        Thread.sleep(500); // longer than any time after which idle connections are closed at once
        for (Socket client : kept) {
            Message.send(client, request("GET", "/x", "sim.example.org", ""));
            Message answer = Message.read(client);
            assertNotNull("closed for the others", answer);
            assertEquals("sim", answer.body());
        }
    }

    /** Bodies over a pool's limit are rejected; those of another pool are not. */
    @Test
    public void bodyMemoryIsEachPoolsOwn() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        marks.setScript(
                asked -> {
                    try {
                        answer.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                    asked.respond("200 OK", "", "kept");
                });
        cluster.startWithOperatorFile(
                file(
                        endpoints(sim),
                        endpoints(marks)
                                + "[pools.marks.limits]\nbody_memory_guaranteed = \"64KiB\"\n"
                                + "body_memory_most = \"100KiB\"\n"));
        String body = "x".repeat(50 * 1024);
        List<Socket> held = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            held.add(cluster.connect());
            Message.send(
                    held.get(i),
                    request("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n") + body);
            marks.takeRequest();
        }
        Socket third = cluster.connect();
        Message.send(
                third,
                request("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals("over the limit", 503, Message.read(third).status());
        Socket other = cluster.connect();
        Message.send(
                other,
                request("POST", "/x", "sim.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals("sim", Message.read(other).body());
        assertEquals(body, sim.takeRequest().body());
        answer.countDown();
        for (Socket client : held) {
            assertEquals("kept", Message.read(client).body());
        }
        Socket again = cluster.connect();
        Message.send(
                again,
                request("POST", "/x", "marks.example.org", "Content-Length: 51200\r\n") + body);
        assertEquals("given back", "kept", Message.read(again).body());
    }
}
