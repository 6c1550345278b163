package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertNotNull;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** How the node handles corrupt responses, and bytes after a response. */
public class CorruptResponseTest {
    private static final String MADE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
    private static final String ENDLESS = "X-More: " + "x".repeat(1000) + "\r\n";

    private final TestCluster cluster;

    public CorruptResponseTest() throws Exception {
        cluster = new TestCluster();
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }

    /** The endpoint keeps its connection open, so that only the node can end the request. */
    @Test
    public void aCorruptResponseFailsTheRequestAndItsConnectionIsClosed() throws Exception {
        String[] corrupt = {
            "\u0000\u0001\u0002 noise",
            "HTTP/1.1 two hundred\r\n\r\n",
            "HTTP/1.1 200 OK\r\nno header\r\n\r\n",
            "HTTP/1.1 200 OK\r\n" + ENDLESS.repeat(100),
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmade",
            "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nmade",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nmade",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfour\r\nmade\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\nmade",
        };
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (String response : corrupt) {
            endpoint.setScript(request -> Message.send(request.connection(), response));
            assertEquals(response, 502, cluster.sendRequest("use").status());
            Socket closed =
                    endpoint.closedConnections.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
            assertEquals(response, endpoint.takeRequest().connection(), closed);
            endpoint.setScript(request -> request.respond("200 OK", "", "made"));
            assertEquals("made", cluster.sendRequest("state").body());
            endpoint.takeRequest();
        }
    }

    /**
     * Prevents surplus bytes from being taken for the response to the connection's next request.
     */
    @Test
    public void bytesAfterAResponseNeverReachTheNextRequest() throws Exception {
        String[] surplusBytes = {MADE.replace("made", "copy"), "noise", "\r\n"};
        for (String surplus : surplusBytes) {
            ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
            cluster.start(TestCluster.SETTINGS, endpoint);
            endpoint.setScript(request -> Message.send(request.connection(), MADE + surplus));
            Message response = cluster.sendRequest("use");
            if (surplus.startsWith("HTTP")) {
                assertEquals("either of two may be the request's", 502, response.status());
            } else {
                assertEquals("made", response.body());
            }
            Socket corrupt = endpoint.takeRequest().connection();
            endpoint.setScript(request -> request.respond("200 OK", "", "next"));
            assertEquals("next", cluster.sendRequest("use").body());
            assertNotEquals(corrupt, endpoint.takeRequest().connection());
            cluster.kill();
            cluster.exitStatus();
        }
    }

    /** Bytes that arrive while the connection is idle in the pool. */
    @Test
    public void aConnectionWithUnsolicitedBytesIsClosed() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        assertEquals("made", cluster.sendRequest("use").body());
        Socket idle = endpoint.takeRequest().connection();
        Message.send(idle, MADE.replace("made", "copy"));
        assertEquals(
                idle, endpoint.closedConnections.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals("made", cluster.sendRequest("use").body());
        assertNotEquals(idle, endpoint.takeRequest().connection());
    }

    @Test
    public void unusualButValidResponsesAreServed() throws Exception {
        String[] valid = {
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + MADE,
            MADE.replace(
                    "\r\n\r\n", "\r\nX-Backend-Load: {\"inflight\":-1,\"queue\":-9e99}\r\n\r\n"),
            MADE.replace("\r\n\r\n", "\r\nX-Backend-Load: {{{{\u0001\u00ff\r\n\r\n"),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nma\r\n2\r\nde\r\n0\r\nA: b\r\n\r\n",
        };
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (String response : valid) {
            endpoint.setScript(request -> sendInPieces(request.connection(), response));
            assertEquals(response, "made", cluster.sendRequest("use").body());
        }
        assertNotNull(endpoint.takeRequest());
    }

    private static void sendInPieces(Socket connection, String text) throws IOException {
        for (int i = 0; i < text.length(); i += 7) {
            Message.send(connection, text.substring(i, Math.min(text.length(), i + 7)));
        }
    }
}
