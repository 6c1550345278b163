package trailthread.daemon;

import static org.junit.Assert.assertEquals;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** A request that may run only once does not run again when its id comes again. */
public class RepeatedIdTest extends WithAdminServer {
    private void checkRunsOnce(String requestClass) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingAfter(left, "made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        String request = TestCluster.requestText(requestClass, "", "");
        Socket leaving = cluster.connect();
        Message.send(leaving, request);
        endpoint.takeRequest();
        leaving.close();
        left.countDown();
        assertEquals("made", cluster.sendRequest("state").body()); // the response has been read
        endpoint.takeRequest();
        Socket again = cluster.connect();
        Message.send(again, request);
        assertEquals(409, Message.read(again).status());
        endpoint.assertNoMoreRequests();
    }

    /** Guards against running a request again that its client left after it was sent. */
    @Test
    public void aRequestWhoseClientLeftDoesNotRunAgain() throws Exception {
        checkRunsOnce("use");
    }

    /** Guards against running it in another cell, where its key is not known. */
    @Test
    public void aKeyedRequestWhoseClientLeftDoesNotRunAgain() throws Exception {
        checkRunsOnce("action");
    }
}
