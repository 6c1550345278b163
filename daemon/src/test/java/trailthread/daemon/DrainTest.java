package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** A drain moves clients away without losing requests; after a resume they are served again. */
public class DrainTest extends WithAdminServer {
    /** How long a client takes for its head; a drain closes unused connections after 1.5 s. */
    private static final int HEAD_MS = 1_900;

    private Message sendReadyRequest() throws IOException {
        Socket frontEnd = cluster.connect();
        Message.send(frontEnd, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        return Message.read(frontEnd);
    }

    @Test
    public void requestsAreServedAndConnectionsAreClosedAfterResponsesOrWhenIdle()
            throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer endpoint =
                cluster.closeAtEnd(ScriptedServer.respondingAfter(answer, "made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        assertEquals(200, sendReadyRequest().status());
        Socket busy = cluster.connect();
        Message.send(busy, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        Socket idle = cluster.connect();
        Message.send(idle, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(200, Message.read(idle).status());
        assertEquals(200, cluster.sendAdminRequest("POST", "/-/drain").status());
        assertEquals(503, sendReadyRequest().status());
        assertEquals(503, cluster.sendAdminRequest("GET", "/-/ready").status());
        assertEquals("idle connections are closed", -1, idle.getInputStream().read());
        Socket late = cluster.connect();
        Message.send(late, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        answer.countDown();
        for (Socket client : new Socket[] {busy, late}) {
            Message served = Message.read(client);
            assertEquals("made", served.body());
            assertEquals("close", served.header("Connection"));
        }
        assertEquals(200, cluster.sendAdminRequest("POST", "/-/resume").status());
        assertEquals(200, sendReadyRequest().status());
        Message afterResume = cluster.sendRequest("use");
        assertEquals("made", afterResume.body());
        assertTrue(
                "connections are kept alive again",
                !"close".equals(afterResume.header("Connection")));
    }

    /** Guards against a drain that closes clients which take 2 s to write a head. */
    @Test
    public void aHeadThatIsWrittenSlowlyAcrossADrainIsServed() throws Exception {
        cluster.start(
                TestCluster.SETTINGS, cluster.closeAtEnd(ScriptedServer.respondingWith("made")));
        Socket client = cluster.connect();
        String request = TestCluster.requestText("use", "", "");
        Message.send(client, request.substring(0, 20));
        assertEquals(200, cluster.sendAdminRequest("POST", "/-/drain").status());
        Thread.sleep(HEAD_MS);
        Message.send(client, request.substring(20));
        assertEquals("made", Message.read(client).body());
    }
}
