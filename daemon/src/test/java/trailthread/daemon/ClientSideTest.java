package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** How the node serves its clients, over real sockets. */
public class ClientSideTest {
    /** Longer than a connection to an endpoint is idle before it is used again. */
    private static final long REUSE_DELAY_MS = 300;

    private final TestCluster cluster;

    public ClientSideTest() throws Exception {
        cluster = new TestCluster();
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }

    @Test
    public void requestAndResponsePassUnchanged() throws Exception {
        String body = "bench \u00ff\u0000 and readings";
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith(body));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket client = cluster.connect();
        String query = "/a%2Fb;c=1//d?x=%20&&y=+%3D";

        String text = TestCluster.requestText("action", query, "X-Other: 1\r\n");
        for (int i = 0; i < 2; i++) { // both connections are kept alive
            Message.send(client, text);
            Message response = Message.read(client);
            assertEquals(200, response.status());
            assertEquals(body, response.body());
            // A connection is not used right after a response, as surplus bytes may follow.
            Thread.sleep(REUSE_DELAY_MS);
        }

        Message received = endpoint.takeRequest();
        assertEquals("POST /action" + query + " HTTP/1.1", received.startLine());
        assertEquals("pour", received.body());
        assertTrue(
                text.contains("X-Correlation-Id: " + received.header("X-Correlation-Id") + "\r\n"));
        assertEquals("5c0f6e1a2b3d4c59", received.header("Idempotency-Key"));
        double left = Double.parseDouble(received.header("X-Time-Left"));
        assertTrue("time left: " + left, left > 0 && left <= 20);
        assertEquals(received.connection(), endpoint.takeRequest().connection());
    }

    @Test
    public void aMalformedRequestIsRejectedAndReachesNoEndpoint() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        String good = TestCluster.requestText("use", "", "");
        String[] bad = {
            good.replace("X-Service-Class: use", "X-Service-Class: other"),
            good.replace("POST /use", "POST /state"),
            good.replace("POST /use", "GET /use"),
            good.replace("X-Time-Left: 20.000", "X-Time-Left: soon"),
            good.replace("X-Correlation-Id", "X-Other"),
            "no HTTP at all\r\n\r\n",
            good.replace("Content-Length: 4", "Content-Length: four"),
            good.replace("Content-Length: 4", "Content-Length: -4"),
            good.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"),
            good.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"),
        };
        for (String text : bad) {
            Socket client = cluster.connect();
            Message.send(client, text);
            assertEquals(text, 400, Message.read(client).status());
        }
        String[] tooLong = {
            good.replace("4\r\n\r\npour", "33554433\r\n\r\n"),
            good.replace("4\r\n\r\npour", "99999999\r\n\r\n"),
        };
        for (String text : tooLong) {
            Socket client = cluster.connect();
            Message.send(client, text);
            assertEquals(413, Message.read(client).status());
        }
        endpoint.assertNoMoreRequests();

        assertEquals("the node survives", "made", cluster.sendRequest("use").body());
    }

    @Test
    public void aRequestWithoutEndpointIsRejectedWithRetryAfter() throws Exception {
        cluster.start(
                TestCluster.SETTINGS.replace("\"aim_ns\":10000000000", "\"aim_ns\":100000000"));
        Message response = cluster.sendRequest("use");
        assertEquals(503, response.status());
        double wait = Double.parseDouble(response.header("Retry-After"));
        assertTrue("Retry-After: " + wait, wait > 0 && wait <= 1.2);
    }

    /**
     * Undertow reads nothing during a request, so a client's close could go unnoticed until the
     * response.
     */
    @Test
    public void requestsOfADisconnectedClientAreDropped() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS);
        Message watch = cluster.discovery.takeRequest();
        Socket gone = cluster.connect();
        Message.send(gone, TestCluster.requestText("use", "", ""));
        cluster.sendRequest("other"); // its response arrives after the first request was read
        gone.close();
        Thread.sleep(100); // the close must arrive before the list
        TestCluster.sendWatchLine(watch, TestCluster.endpointListJson(2, true, "active", endpoint));
        Socket client = cluster.connect();
        Message.send(client, TestCluster.requestText("use", "?second", ""));
        assertEquals("made", Message.read(client).body());
        assertEquals("POST /use?second HTTP/1.1", endpoint.takeRequest().startLine());
        endpoint.assertNoMoreRequests();
    }

    /**
     * Endpoints detect duplicates by the id: another client's request would be taken for a
     * duplicate of the first one.
     */
    @Test
    public void aRequestWithAnIdInFlightIsRejected() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(new ScriptedServer(request -> {}));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket first = cluster.connect();
        String text = TestCluster.requestText("use", "", "");
        Message.send(first, text);
        Message received = endpoint.takeRequest();
        Socket second = cluster.connect();
        Message.send(second, text);
        assertEquals(409, Message.read(second).status());
        endpoint.assertNoMoreRequests();
        received.respond("200 OK", "", "made");
        assertEquals("made", Message.read(first).body());
        endpoint.setScript(request -> request.respond("200 OK", "", "again"));
        assertEquals("again", cluster.sendRequest("use").body());
    }

    /** Idle clients must not use up the node's few descriptors. */
    @Test
    public void moreClientsThanConnectionsAreAllServed() throws Exception {
        cluster.descriptorLimit = 96; // 28 connections to clients
        cluster.start(
                TestCluster.SETTINGS, cluster.closeAtEnd(ScriptedServer.respondingWith("made")));
        for (int i = 0; i < 60; i++) {
            // The connection stays open.
            assertEquals("made", cluster.sendRequest("use").body());
        }
    }

    /**
     * Prevents idle connections and incomplete requests from using up the limit: when they were not
     * counted, hundreds of them blocked all clients with requests.
     */
    @Test
    public void idleConnectionsAndIncompleteRequestsBlockNobody() throws Exception {
        cluster.descriptorLimit = 96;
        cluster.start(
                TestCluster.SETTINGS, cluster.closeAtEnd(ScriptedServer.respondingWith("made")));
        String text = TestCluster.requestText("use", "", "");
        Socket[] unused = new Socket[60];
        for (int i = 0; i < unused.length; i++) {
            unused[i] = cluster.connect();
            Message.send(unused[i], text.substring(0, i * (text.length() - 1) / unused.length));
        }
        assertEquals("made", cluster.sendRequest("use").body());
        for (Socket client : unused) {
            assertNull("closed without a response", Message.read(client));
        }
    }

    @Test
    public void aPipelinedRequestIsHandledNext() throws Exception {
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    // The second request is sent before the response to this one.
                                    Message.send(request.connection(), "");
                                    request.respond("200 OK", "", request.startLine());
                                }));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket client = cluster.connect();
        Message.send(
                client,
                TestCluster.requestText("use", "?1", "")
                        + TestCluster.requestText("use", "?2", ""));
        assertEquals("POST /use?1 HTTP/1.1", Message.read(client).body());
        assertEquals("POST /use?2 HTTP/1.1", Message.read(client).body());
        client.shutdownOutput();
        assertNull(Message.read(client));
    }
}
