package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** The metrics match what scripted peers saw, however requests end. */
public class MetricsOverSocketsTest extends WithAdminServer {
    @Test
    public void eachRequestIsCountedOnce() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        endpoint.setScript(
                request -> {
                    switch (request.startLine().replaceAll(".*how=(\\w+) .*", "$1")) {
                        case "reset" -> request.connection().close();
                        case "error" -> request.respond("500 Error", "", "");
                        case "held" -> ScriptedServer.await(over);
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
            assertEquals(how, how.equals("served") ? 200 : 502, ask(how, "20.000").status());
            sends++;
        }
        Socket cut = cluster.connect();
        Message.send(cut, TestCluster.requestText("use", "?how=long", ""));
        int came = cut.getInputStream().readAllBytes().length;
        assertTrue("passed on until it broke off: " + came, came > 64 * 1024 && came < 200_000);
        assertEquals("its time is over", 502, ask("held", "0.500").status());
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
        assertEquals("what the worker saw", sends, endpoint.requests.size());
        over.countDown();
    }

    private Message ask(String how, String seconds) throws Exception {
        Socket client = cluster.connect();
        Message.send(
                client,
                TestCluster.requestText("use", "?how=" + how, "").replace("20.000", seconds));
        return Message.read(client);
    }
}
