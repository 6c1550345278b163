package trailthread.command;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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
public class ServicesTest extends TwoServicesFixture {
    /** Longer than a connection to an endpoint is idle before it is used again. */
    private static final long REUSE_DELAY_MS = 300;

    public ServicesTest() throws Exception {}

    @Test
    public void theSamePathOnTwoHostsGoesToTwoPools() throws Exception {
        startBothServices();
        assertEquals("sim", sendRequest("GET", "/x", "sim.example.org", "").body());
        assertEquals("marks", sendRequest("GET", "/x", "marks.example.org", "").body());
        assertEquals(
                "an exact host takes precedence over a wildcard",
                "sim",
                sendRequest("GET", "/x", "SIM.example.org.:80", "").body());
        assertEquals(
                "marks",
                sendRequest("GET", "http://a.b.example.org/x", "a.b.example.org", "").body());
        assertEquals(
                400,
                sendRequest("GET", "http://a.b.example.org/x", "sim.example.org", "").status());
        Message unrouted = sendRequest("GET", "/x", "example.org", "");
        assertEquals(404, unrouted.status());
        assertEquals(400, sendRequest("GET", "/x/../y", "sim.example.org", "").status());
        assertEquals(
                400,
                sendRequest("GET", "/x", "sim.example.org", "Host: marks.example.org\r\n")
                        .status());
        assertEquals(200, sendRequest("GET", "/-/ready", "anything", "").status());
    }

    @Test
    public void targetAndHeadersAreForwardedAndMissingHeadersAdded() throws Exception {
        startBothServices();
        sim.setScript(
                request ->
                        request.respond(
                                "201 Created",
                                "Location: /y\r\nX-Hop: 1\r\nConnection: X-Hop\r\n"
                                        + "Set-Cookie: a\r\nset-cookie: b\r\n",
                                "made"));
        Message response =
                sendRequest(
                        "POST",
                        "/a%20b?q=%2f",
                        "sim.example.org",
                        "Content-Type: text/x\r\nX-Mine: 1\r\n"
                                + "X-Gone: 2\r\nConnection: keep-alive, x-gone\r\n"
                                + "TE: trailers\r\nContent-Length: 0\r\n");
        assertEquals(201, response.status());
        assertEquals("/y", response.header("Location"));
        assertEquals(null, response.header("X-Hop"));
        assertEquals("1.1 trailthread", response.header("Via"));
        Message request = sim.takeRequest();
        assertEquals("POST /a%20b?q=%2f HTTP/1.1", request.startLine());
        assertEquals("sim.example.org", request.header("Host"));
        assertEquals("text/x", request.header("Content-Type"));
        assertEquals("1", request.header("X-Mine"));
        assertEquals("a hop-by-hop header is removed", null, request.header("X-Gone"));
        assertEquals("a hop-by-hop header is removed", null, request.header("TE"));
        assertEquals("1.1 trailthread", request.header("Via"));
        assertNotNull("a correlation id is added", request.header("X-Correlation-Id"));
        assertTrue(Double.parseDouble(request.header("X-Time-Left")) <= 20);
    }

    @Test
    public void responsesWithoutBodies() throws Exception {
        startBothServices();
        sim.setScript(
                request ->
                        Message.send(
                                request.connection(),
                                request.startLine().startsWith("HEAD")
                                        ? "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
                                        : "HTTP/1.1 204 No Content\r\n\r\n"));
        for (int i = 0; i < 3; i++) { // all on one connection, as no unread bytes are left on it
            Message head = sendRequest("HEAD", "/x", "sim.example.org", "");
            assertEquals(200, head.status());
            assertEquals("7", head.header("Content-Length"));
            // A connection is not reused right after a response, as a second one may follow.
            Thread.sleep(REUSE_DELAY_MS);
            assertEquals(204, sendRequest("DELETE", "/x", "sim.example.org", "").status());
            Thread.sleep(REUSE_DELAY_MS);
        }
        Socket first = sim.takeRequest().connection();
        for (int i = 0; i < 5; i++) {
            assertSame(first, sim.takeRequest().connection());
        }
    }

    @Test
    public void theMethodDecidesWhatIsRetried() throws Exception {
        startBothServices();
        int[] times = new int[1];
        sim.setScript(
                request -> {
                    if (times[0]++ % 2 == 0) {
                        request.connection().close();
                    } else {
                        request.respond("200 OK", "", "again");
                    }
                });
        assertEquals("again", sendRequest("GET", "/x", "sim.example.org", "").body());
        assertEquals(
                "again",
                sendRequest("PUT", "/x", "sim.example.org", "Content-Length: 0\r\n").body());
        assertEquals(
                "a POST may have been processed, and is not retried",
                502,
                sendRequest("POST", "/x", "sim.example.org", "Content-Length: 0\r\n").status());
        for (int i = 0; i < 5; i++) {
            sim.takeRequest();
        }
        sim.assertNoMoreRequests();
        assertEquals(
                "a class that allows more retries than the method",
                400,
                sendRequest(
                                "POST",
                                "/x",
                                "sim.example.org",
                                "X-Service-Class: safe\r\nContent-Length: 0\r\n")
                        .status());
        times[0] = 0;
        assertEquals(
                "a class that allows fewer retries than the method",
                502,
                sendRequest("GET", "/x", "sim.example.org", "X-Service-Class: unsafe\r\n")
                        .status());
    }

    @Test
    public void anEndpointsFaultIsNotForwarded() throws Exception {
        startBothServices();
        sim.setScript(request -> request.respond("429 Too Many Requests", "", ""));
        assertEquals(
                "a rejection by an endpoint is not passed on",
                502,
                sendRequest("POST", "/x", "sim.example.org", "Content-Length: 0\r\n").status());
        sim.setScript(request -> request.respond("404 Not Found", "", "none such"));
        assertEquals("none such", sendRequest("GET", "/x", "sim.example.org", "").body());
    }

    /** Guards against streams of events that are held back, or cut off at the deadline. */
    @Test
    public void aStreamOfEventsIsPassedOnAndOutlastsTheDeadline() throws Exception {
        startBothServices();
        CountDownLatch deadlinePassed = new CountDownLatch(1);
        sim.setScript(
                request -> {
                    Message.send(
                            request.connection(),
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
                    ScriptedServer.await(deadlinePassed);
                    Message.send(request.connection(), "3\r\ntwo\r\n0\r\n\r\n");
                });
        String headers = "X-Time-Left: 0.500\r\nConnection: close\r\n";
        try (Socket client = cluster.connect()) {
            Message.send(client, requestHead("GET", "/x", "sim.example.org", headers));
            StringBuilder received = new StringBuilder();
            while (received.indexOf("one") < 0) {
                received.append((char) client.getInputStream().read());
            }
            Thread.sleep(1_000); // twice the time of the request
            deadlinePassed.countDown();
            received.append(
                    new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
            assertTrue(received.toString(), received.toString().endsWith("two\r\n0\r\n\r\n"));
        }
    }

    @Test
    public void aReloadKeepsUnchangedPools() throws Exception {
        startBothServices();
        sendRequest("GET", "/1", "sim.example.org", "");
        sendRequest("GET", "/1", "marks.example.org", "");
        Socket toSim = sim.takeRequest().connection();
        Socket toMarks = marks.takeRequest().connection();
        cluster.reload(file(endpointsKey(sim), "attempts = 2\n" + endpointsKey(marks)));
        cluster.awaitLogLine("1 pools kept, 1 started, 1 retired");
        Thread.sleep(REUSE_DELAY_MS); // a connection is not reused right after a response
        sendRequest("GET", "/2", "sim.example.org", "");
        sendRequest("GET", "/2", "marks.example.org", "");
        assertSame("the connection of a pool that is kept", toSim, sim.takeRequest().connection());
        assertNotSame(
                "a new connection of the new pool", toMarks, marks.takeRequest().connection());
        assertSame(
                "the connection of the old pool is closed",
                toMarks,
                marks.closedConnections.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    public void requestsInFlightEndUnderTheOldFile() throws Exception {
        startBothServices();
        CountDownLatch respond = new CountDownLatch(1);
        marks.setScript(
                request -> {
                    try {
                        respond.await(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                    request.respond("200 OK", "", "late");
                });
        Socket before = cluster.connect();
        Message.send(
                before, requestHead("POST", "/x", "marks.example.org", "Content-Length: 0\r\n"));
        marks.takeRequest();
        Socket half = cluster.connect();
        Message.send(
                half,
                requestHead("POST", "/half", "marks.example.org", "Content-Length: 4\r\n") + "po");
        // Removes the pool of the second request before its body is complete.
        cluster.reload(
                "[node]\nlisten = \"127.0.0.1:0\"\ndescriptors = 256\n"
                        + poolSection("sim", endpointsKey(sim))
                        + routeSection("all", "pool = \"sim\""));
        cluster.awaitLogLine("1 pools kept, 0 started, 1 retired");
        assertEquals("sim", sendRequest("GET", "/x", "marks.example.org", "").body());
        Message.send(half, "ur");
        assertEquals("routed by the new file", "sim", Message.read(half).body());
        respond.countDown();
        assertEquals("late", Message.read(before).body());
        cluster.awaitLogLine("pool marks has ended");
    }

    @Test
    public void aFileWithFaultsChangesNothing() throws Exception {
        startBothServices();
        cluster.reload(file(endpointsKey(sim), "deadlin = \"1s\"\n" + endpointsKey(marks)));
        cluster.awaitLogLine("pools.marks.deadlin: expected a key that is known, such as deadline");
        cluster.awaitLogLine("was not applied: 1 faults");
        assertEquals("marks", sendRequest("GET", "/x", "marks.example.org", "").body());
    }

    @Test
    public void aHalfWrittenListChangesNothing() throws Exception {
        Path list = Files.createTempFile("workers", ".json");
        Path next = Files.createTempFile("workers", ".json");
        try {
            Files.writeString(list, TestCluster.endpointListJson(1, true, "active", sim));
            cluster.startWithOperatorFile(file("file = \"" + list + "\"", endpointsKey(marks)));
            Message response = sendRequest("GET", "/x", "sim.example.org", "");
            assertEquals(cluster.log.toString(), "sim", response.body());
            String complete = TestCluster.endpointListJson(2, true, "active", marks);
            Files.writeString(list, complete.substring(0, complete.length() / 2));
            cluster.awaitLogLine("can't be used");
            assertEquals("sim", sendRequest("GET", "/x", "sim.example.org", "").body());
            Files.writeString(next, complete);
            Files.move(next, list, StandardCopyOption.REPLACE_EXISTING);
            cluster.awaitLogLine("can be used again");
            assertEquals("marks", sendRequest("GET", "/x", "sim.example.org", "").body());
        } finally {
            Files.deleteIfExists(list);
            Files.deleteIfExists(next);
        }
    }

    @Test
    public void requestsAreRejectedWithoutEndpointsOrWithOnlyADrainingOne() throws Exception {
        Path list = Files.createTempFile("workers", ".json");
        try {
            Files.writeString(list, TestCluster.endpointListJson(1, true, "active"));
            String keys = "file = \"" + list + "\"\n";
            cluster.startWithOperatorFile(
                    file(keys, endpointsKey(marks))
                            .replace(
                                    "aim = \"10s\"\ndeadline = \"20s\"",
                                    "aim = \"300ms\"\ndeadline = \"600ms\""));
            Message rejected = sendRequest("GET", "/x", "sim.example.org", "");
            assertEquals(cluster.log.toString(), 503, rejected.status());
            assertNotNull(rejected.header("Retry-After"));
            Files.writeString(list, TestCluster.endpointListJson(2, true, "leaving", sim));
            // Four requests take longer than the interval at which the file is checked.
            for (int i = 0; i < 4; i++) {
                assertEquals(
                        cluster.log.toString(),
                        503,
                        sendRequest("GET", "/x", "sim.example.org", "").status());
            }
            sim.assertNoMoreRequests();
            assertEquals("marks", sendRequest("GET", "/x", "marks.example.org", "").body());
        } finally {
            Files.deleteIfExists(list);
        }
    }

    /** 200 reloads, a quarter of them of a file with faults, lose no request and leak no pool. */
    @Test
    public void manyReloadsUnderLoad() throws Exception {
        startBothServices();
        String[] files = {
            file(endpointsKey(sim), endpointsKey(marks)),
            file(endpointsKey(sim), "attempts = 2\n" + endpointsKey(marks)),
            file("attempts = 2\n" + endpointsKey(sim), endpointsKey(marks)),
            "[node\n"
        };
        sendRequest("GET", "/warm", "sim.example.org", "");
        sendRequest("GET", "/warm-too", "marks.example.org", "");
        int before = cluster.openDescriptorCount();
        Thread reloader =
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
        reloader.start();
        int sent = 0;
        try (Socket client = cluster.connect()) {
            while (reloader.isAlive()) {
                String host = sent++ % 2 == 0 ? "sim" : "marks";
                Message.send(
                        client,
                        requestHead(
                                "POST",
                                "/" + sent,
                                host + ".example.org",
                                "Content-Length: 0\r\n"));
                Message response = Message.read(client);
                assertNotNull("a connection was closed during a request", response);
                assertEquals(
                        "request " + sent + ": " + response.startLine(), host, response.body());
            }
        }
        reloader.join();
        assertTrue("requests sent: " + sent, sent > 100);
        List<Message> requests = new ArrayList<>(sim.requests);
        requests.addAll(marks.requests);
        assertEquals(
                "every request once",
                sent + 2,
                requests.stream().map(Message::startLine).distinct().count());
        assertEquals("every request once", sent + 2, requests.size());
        int after = cluster.openDescriptorCount();
        for (int i = 0; i < 100 && after > before + 4; i++) {
            Thread.sleep(100);
            after = cluster.openDescriptorCount();
        }
        assertTrue("descriptors before and after: " + before + " " + after, after <= before + 4);
    }
}
