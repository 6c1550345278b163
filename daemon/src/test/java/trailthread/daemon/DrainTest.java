package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.Peer;
import trailthread.testkit.Stage;

/**
 * A node that its operators drain leads its clients away, loses no call, and takes clients again.
 */
public class DrainTest extends WithAdminServer {
    private Message ready() throws IOException {
        Socket front = stage.connect();
        Message.send(front, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        return Message.read(front);
    }

    @Test
    public void callsGoOnAndConnectionsEndWithTheirAnswersOrIdle() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        Peer endpoint = stage.add(Peer.servingAfter(answer, "made"));
        stage.start(Stage.SETTINGS, endpoint);
        assertEquals(200, ready().status());
        Socket busy = stage.connect();
        Message.send(busy, Stage.request("use", "", ""));
        endpoint.asked();
        Socket idle = stage.connect();
        Message.send(idle, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(200, Message.read(idle).status());
        assertEquals(200, stage.manage("POST", "/-/drain").status());
        assertEquals(503, ready().status());
        assertEquals(503, stage.manage("GET", "/-/ready").status());
        assertEquals("what idles is closed in time", -1, idle.getInputStream().read());
        Socket late = stage.connect();
        Message.send(late, Stage.request("use", "", ""));
        endpoint.asked();
        answer.countDown();
        for (Socket client : new Socket[] {busy, late}) {
            Message served = Message.read(client);
            assertEquals("made", served.body());
            assertEquals("close", served.header("Connection"));
        }
        assertEquals(200, stage.manage("POST", "/-/resume").status());
        assertEquals(200, ready().status());
        Message kept = stage.call("use");
        assertEquals("made", kept.body());
        assertTrue("connections last again", !"close".equals(kept.header("Connection")));
    }
}
