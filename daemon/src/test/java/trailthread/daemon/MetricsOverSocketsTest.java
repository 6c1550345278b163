package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** The metrics match what clients and endpoints saw, however requests end. */
public class MetricsOverSocketsTest extends WithAdminServer {
    @Test
    public void eachRequestIsCountedOnce() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        endpoint.setScript(
                request -> {
                    switch (request.startLine().replaceAll(".*how=(\\w+) .*", "$1")) {
                        case "reset" -> request.connection().close();
                        case "error" -> request.respond("500 Error", "", "");
                        case "held" -> ScriptedServer.await(release);
                        case "long" -> {
                            Message.send(
                                    request.connection(),
                                    "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
                            Message.send(request.connection(), "x".repeat(100_000));
                            request.connection().close();
                        }
                        default -> request.respond("200 OK", "", "made");
                    }
                });
        cluster.start(TestCluster.SETTINGS, endpoint);
        cluster.awaitMetricLine("app_answered{group=\"use\"} 0");
        int sends = 0;
        for (String how : new String[] {"reset", "error", "served"}) {
            assertEquals(
                    how, how.equals("served") ? 200 : 502, sendRequest(how, "20.000").status());
            sends++;
        }
        Socket truncated = cluster.connect();
        Message.send(truncated, TestCluster.requestText("use", "?how=long", ""));
        int received = truncated.getInputStream().readAllBytes().length;
        assertTrue(
                "forwarded until the endpoint closed: " + received,
                received > 64 * 1024 && received < 200_000);
        assertEquals("the deadline has passed", 502, sendRequest("held", "0.500").status());
        sends += 2;
        cluster.awaitMetricLine("app_current 0");
        Socket leaves = cluster.connect();
        Message.send(leaves, TestCluster.requestText("use", "?how=held", ""));
        cluster.awaitMetricLine("app_current 1");
        cluster.awaitMetricLine("app_sends " + ++sends);
        leaves.close();
        cluster.awaitMetricLine("app_current 0");
        assertEquals(400, cluster.sendRequest("none").status());
        cluster.awaitMetricLine("app_answered{group=\"use\"} 1");
        cluster.awaitMetricLine("app_deferred{group=\"use\"} 0");
        cluster.awaitMetricLine("app_errored{group=\"use\"} 4");
        cluster.awaitMetricLine("app_sends " + sends);
        assertEquals("requests at the endpoint", sends, endpoint.requests.size());
        release.countDown();
    }

    private Message sendRequest(String how, String seconds) throws Exception {
        Socket client = cluster.connect();
        Message.send(
                client,
                TestCluster.requestText("use", "?how=" + how, "").replace("20.000", seconds));
        return Message.read(client);
    }
}
