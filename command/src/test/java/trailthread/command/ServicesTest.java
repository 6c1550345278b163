package trailthread.command;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** Several services behind one address, over real sockets. */
public class ServicesTest extends WithTwoServices {
    public ServicesTest() throws Exception {}

    @Test
    public void theSamePathOnTwoHostsGoesToTwoPools() throws Exception {
        serve();
        assertEquals("sim", ask("GET", "/x", "sim.example.org", "").body());
        assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
        assertEquals(
                "the exact host goes before the wildcard",
                "sim",
                ask("GET", "/x", "SIM.example.org.:80", "").body());
        assertEquals("marks", ask("GET", "http://a.b.example.org/x", "a.b.example.org", "").body());
        assertEquals(400, ask("GET", "http://a.b.example.org/x", "sim.example.org", "").status());
        Message none = ask("GET", "/x", "example.org", "");
        assertEquals(404, none.status());
        assertEquals(400, ask("GET", "/x/../y", "sim.example.org", "").status());
        assertEquals(
                400, ask("GET", "/x", "sim.example.org", "Host: marks.example.org\r\n").status());
        assertEquals(200, ask("GET", "/-/ready", "anything", "").status());
    }

    @Test
    public void aPlainClientsHeadersAndTargetPassAndMissingOnesAreAdded() throws Exception {
        serve();
        sim.setScript(
                asked ->
                        asked.respond(
                                "201 Created",
                                "Location: /y\r\nX-Hop: 1\r\nConnection: X-Hop\r\n"
                                        + "Set-Cookie: a\r\nset-cookie: b\r\n",
                                "made"));
        Message answer =
                ask(
                        "POST",
                        "/a%20b?q=%2f",
                        "sim.example.org",
                        "Content-Type: text/x\r\nX-Mine: 1\r\n"
                                + "X-Gone: 2\r\nConnection: keep-alive, x-gone\r\n"
                                + "TE: trailers\r\nContent-Length: 0\r\n");
        assertEquals(201, answer.status());
        assertEquals("/y", answer.header("Location"));
        assertEquals(null, answer.header("X-Hop"));
        assertEquals("1.1 trailthread", answer.header("Via"));
        Message asked = sim.takeRequest();
        assertEquals("POST /a%20b?q=%2f HTTP/1.1", asked.startLine());
        assertEquals("sim.example.org", asked.header("Host"));
        assertEquals("text/x", asked.header("Content-Type"));
        assertEquals("1", asked.header("X-Mine"));
        assertEquals("hop by hop", null, asked.header("X-Gone"));
        assertEquals("hop by hop", null, asked.header("TE"));
        assertEquals("1.1 trailthread", asked.header("Via"));
        assertNotNull("an id is made", asked.header("X-Correlation-Id"));
        assertTrue(Double.parseDouble(asked.header("X-Time-Left")) <= 20);
    }

    @Test
    public void responsesWithoutBodies() throws Exception {
        serve();
        sim.setScript(
                asked ->
                        Message.send(
                                asked.connection(),
                                asked.startLine().startsWith("HEAD")
                                        ? "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
                                        : "HTTP/1.1 204 No Content\r\n\r\n"));
        for (int i = 0; i < 3; i++) { // on one connection to the endpoint, as nothing is left on it
            Message head = ask("HEAD", "/x", "sim.example.org", "");
            assertEquals(200, head.status());
            assertEquals("7", head.header("Content-Length"));
            Thread.sleep(
                    20); // right after an answer its connection is not used, as a second one may
            // come
            assertEquals(204, ask("DELETE", "/x", "sim.example.org", "").status());
            Thread.sleep(20);
        }
        Socket first = sim.takeRequest().connection();
        for (int i = 0; i < 5; i++) {
            assertSame(first, sim.takeRequest().connection());
        }
    }

    @Test
    public void theMethodDecidesWhatIsRetried() throws Exception {
        serve();
        int[] times = new int[1];
        sim.setScript(
                asked -> {
                    if (times[0]++ % 2 == 0) {
                        asked.connection().close();
                    } else {
                        asked.respond("200 OK", "", "again");
                    }
                });
        assertEquals("again", ask("GET", "/x", "sim.example.org", "").body());
        assertEquals("again", ask("PUT", "/x", "sim.example.org", "Content-Length: 0\r\n").body());
        assertEquals(
                "it may have run",
                502,
                ask("POST", "/x", "sim.example.org", "Content-Length: 0\r\n").status());
        for (int i = 0; i < 5; i++) {
            sim.takeRequest();
        }
        sim.assertNoMoreRequests();
        assertEquals(
                "laxer than its method",
                400,
                ask(
                                "POST",
                                "/x",
                                "sim.example.org",
                                "X-Service-Class: safe\r\nContent-Length: 0\r\n")
                        .status());
        times[0] = 0;
        assertEquals(
                "stricter",
                502,
                ask("GET", "/x", "sim.example.org", "X-Service-Class: unsafe\r\n").status());
    }

    @Test
    public void anEndpointsFaultIsNotForwarded() throws Exception {
        serve();
        sim.setScript(asked -> asked.respond("429 Too Many Requests", "", ""));
        assertEquals(
                "only the node's own module refuses",
                502,
                ask("POST", "/x", "sim.example.org", "Content-Length: 0\r\n").status());
        sim.setScript(asked -> asked.respond("404 Not Found", "", "none such"));
        assertEquals("none such", ask("GET", "/x", "sim.example.org", "").body());
    }

    @Test
    public void aReloadKeepsUnchangedPools() throws Exception {
        serve();
        ask("GET", "/1", "sim.example.org", "");
        ask("GET", "/1", "marks.example.org", "");
        Socket toSim = sim.takeRequest().connection();
        Socket toMarks = marks.takeRequest().connection();
        cluster.reload(file(endpoints(sim), "attempts = 2\n" + endpoints(marks)));
        cluster.awaitLogLine("1 pools kept, 1 started, 1 retired");
        Thread.sleep(20); // as above
        ask("GET", "/2", "sim.example.org", "");
        ask("GET", "/2", "marks.example.org", "");
        assertSame("the same connection", toSim, sim.takeRequest().connection());
        assertNotSame("another pool", toMarks, marks.takeRequest().connection());
        assertSame(
                "what the old pool held is closed",
                toMarks,
                marks.closedConnections.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    public void requestsInFlightEndUnderTheOldFile() throws Exception {
        serve();
        CountDownLatch answer = new CountDownLatch(1);
        marks.setScript(
                asked -> {
                    try {
                        answer.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                    asked.respond("200 OK", "", "late");
                });
        Socket before = cluster.connect();
        Message.send(before, request("POST", "/x", "marks.example.org", "Content-Length: 0\r\n"));
        marks.takeRequest();
        Socket half = cluster.connect();
        Message.send(
                half,
                request("POST", "/half", "marks.example.org", "Content-Length: 4\r\n") + "po");
        // The pool of its route has been removed meanwhile.
        cluster.reload(
                "[node]\nlisten = \"127.0.0.1:0\"\ndescriptors = 256\n"
                        + pool("sim", endpoints(sim))
                        + route("all", "pool = \"sim\""));
        cluster.awaitLogLine("1 pools kept, 0 started, 1 retired");
        assertEquals("sim", ask("GET", "/x", "marks.example.org", "").body());
        Message.send(half, "ur");
        assertEquals("routed by the new file", "sim", Message.read(half).body());
        answer.countDown();
        assertEquals("late", Message.read(before).body());
        cluster.awaitLogLine("pool marks has ended");
    }

    @Test
    public void aFileWithFaultsChangesNothing() throws Exception {
        serve();
        cluster.reload(file(endpoints(sim), "deadlin = \"1s\"\n" + endpoints(marks)));
        cluster.awaitLogLine("pools.marks.deadlin: expected a key that is known, such as deadline");
        cluster.awaitLogLine("was not applied: 1 faults");
        assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
    }

    @Test
    public void aHalfWrittenListChangesNothing() throws Exception {
        Path list = Files.createTempFile("workers", ".json");
        Path next = Files.createTempFile("workers", ".json");
        try {
            Files.writeString(list, TestCluster.endpointListJson(1, true, "active", sim));
            cluster.startWithOperatorFile(file("file = \"" + list + "\"", endpoints(marks)));
            Message answer = ask("GET", "/x", "sim.example.org", "");
            assertEquals(cluster.log.toString(), "sim", answer.body());
            String complete = TestCluster.endpointListJson(2, true, "active", marks);
            Files.writeString(list, complete.substring(0, complete.length() / 2));
            cluster.awaitLogLine("can't be used");
            assertEquals("sim", ask("GET", "/x", "sim.example.org", "").body());
            Files.writeString(next, complete);
            Files.move(next, list, StandardCopyOption.REPLACE_EXISTING);
            cluster.awaitLogLine("can be used again");
            assertEquals("marks", ask("GET", "/x", "sim.example.org", "").body());
        } finally {
            Files.deleteIfExists(list);
            Files.deleteIfExists(next);
        }
    }

    @Test
    public void requestsAreRejectedWithoutEndpointsAndWithADrainingOneOnly() throws Exception {
        Path list = Files.createTempFile("workers", ".json");
        try {
            Files.writeString(list, TestCluster.endpointListJson(1, true, "active"));
            String keys = "file = \"" + list + "\"\n";
            cluster.startWithOperatorFile(
                    file(keys, endpoints(marks))
                            .replace(
                                    "aim = \"10s\"\ndeadline = \"20s\"",
                                    "aim = \"300ms\"\ndeadline = \"600ms\""));
            Message refused = ask("GET", "/x", "sim.example.org", "");
            assertEquals(cluster.log.toString(), 503, refused.status());
            assertNotNull(refused.header("Retry-After"));
            Files.writeString(list, TestCluster.endpointListJson(2, true, "leaving", sim));
            for (int i = 0;
                    i < 4;
                    i++) { // for longer than the interval at which the file is checked
                assertEquals(
                        cluster.log.toString(),
                        503,
                        ask("GET", "/x", "sim.example.org", "").status());
            }
            sim.assertNoMoreRequests();
            assertEquals("marks", ask("GET", "/x", "marks.example.org", "").body());
        } finally {
            Files.deleteIfExists(list);
        }
    }

    /**
     * Two hundred reloads, a quarter of them with faults: no request is lost, no pool is leaked.
     */
    @Test
    public void manyReloadsUnderLoad() throws Exception {
        serve();
        String[] files = {
            file(endpoints(sim), endpoints(marks)),
            file(endpoints(sim), "attempts = 2\n" + endpoints(marks)),
            file("attempts = 2\n" + endpoints(sim), endpoints(marks)),
            "[node\n"
        };
        ask("GET", "/warm", "sim.example.org", "");
        ask("GET", "/warm-too", "marks.example.org", "");
        int before = cluster.openDescriptorCount();
        Thread reloads =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < 200; i++) {
                                    cluster.reload(files[i % files.length]);
                                    Thread.sleep(20);
                                }
                                cluster.reload(files[0]);
                            } catch (IOException | InterruptedException e) {
                                throw new AssertionError(e);
                            }
                        });
        reloads.start();
        int sent = 0;
        try (Socket client = cluster.connect()) {
            while (reloads.isAlive()) {
                String host = sent++ % 2 == 0 ? "sim" : "marks";
                Message.send(
                        client,
                        request(
                                "POST",
                                "/" + sent,
                                host + ".example.org",
                                "Content-Length: 0\r\n"));
                Message answer = Message.read(client);
                assertNotNull("a connection was closed during a request", answer);
                assertEquals("request " + sent + ": " + answer.startLine(), host, answer.body());
            }
        }
        reloads.join();
        assertTrue("requests sent: " + sent, sent > 100);
        List<Message> asked = new ArrayList<>(sim.requests);
        asked.addAll(marks.requests);
        assertEquals(
                "every request once",
                sent + 2,
                asked.stream().map(Message::startLine).distinct().count());
        assertEquals("every request once", sent + 2, asked.size());
        int after = cluster.openDescriptorCount();
        for (int i = 0; i < 100 && after > before + 4; i++) {
            Thread.sleep(100);
            after = cluster.openDescriptorCount();
        }
        assertTrue("descriptors before and after: " + before + " " + after, after <= before + 4);
    }
}
