package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * Degradation levels of the program, over real sockets: requests of idempotent classes are shed,
 * others are served.
 */
public class DegradationOverSocketsTest {
    private static final Pattern ADMIN_ADDRESS =
            Pattern.compile("admin server listens on .*:(\\d+)");
    private static final Pattern LATENESS =
            Pattern.compile("\\{reading=\"lateness_seconds\"} ([0-9.E-]+)");

    /** Keeps readings that a slow machine raises from changing the level. */
    private static final String IGNORE_SLOWNESS =
            """
            "lateness":{"hold_s":3600},"memory":{"hold_s":3600},"cpu_withheld":{"hold_s":3600}""";

    private final TestCluster cluster;

    public DegradationOverSocketsTest() throws Exception {
        cluster = new TestCluster();
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }

    private String metrics() throws Exception {
        Matcher adminAddress =
                ADMIN_ADDRESS.matcher(cluster.awaitLogLine("admin server listens on"));
        assertTrue(adminAddress.find());
        Thread.sleep(1100); // metrics are updated every second
        cluster.port = Integer.parseInt(adminAddress.group(1));
        Socket operator = cluster.connect();
        Message.send(operator, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        return Message.read(operator).body();
    }

    /** One failed request is enough to change the level, as the test sets low thresholds. */
    @Test
    public void idempotentRequestsAreShedAndOthersServedWhileRequestsFail() throws Exception {
        cluster.extraConfig =
                """
                "management":"127.0.0.1:0",
                "levels":{"on":true,"keep":0.000001,"lean":{SLOW},"essential":{SLOW},
                 "reduced":{"least_shed":1,"least_stay_s":300,
                  "starved":{"enter":0.01,"leave":0.0001,"hold_s":0},SLOW}},"""
                        .replace("SLOW", IGNORE_SLOWNESS);
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(request -> request.respond("500 Error", "", "")));
        cluster.start(TestCluster.SETTINGS, endpoint);
        int clientPort = cluster.port;
        assertTrue(metrics().contains("trailthread_level{trailthread_level=\"normal\"} 1"));
        cluster.port = clientPort;
        assertEquals(502, cluster.sendRequest("use").status());
        String change = cluster.awaitLogLine("level normal -> reduced");
        for (String part :
                new String[] {"from=", "to=", "reading=", "value=", "bound=", "starved"}) {
            assertTrue(change, change.contains(part));
        }
        endpoint.setScript(request -> request.respond("200 OK", "", "made"));
        endpoint.takeRequest();
        for (int i = 0; i < 3; i++) {
            Message shed = cluster.sendRequest("state");
            assertEquals(503, shed.status());
            assertNotNull(shed.header("Retry-After"));
            endpoint.assertNoMoreRequests();
            assertEquals("made", cluster.sendRequest("use").body());
            endpoint.takeRequest();
        }
        String metrics = metrics();
        for (String line :
                new String[] {
                    "trailthread_level{trailthread_level=\"reduced\"} 1",
                    "trailthread_level_changes_total{level=\"reduced\"} 1.0",
                    "trailthread_answers_total{answer=\"refused\",class=\"state\"} 3.0",
                    "trailthread_answers_total{answer=\"served\",class=\"use\"} 3.0",
                    "trailthread_answers_total{answer=\"failed\",class=\"use\"} 1.0",
                    "trailthread_reading{reading=\"starved_ratio\"}"
                }) {
            assertTrue(line + " in " + metrics, metrics.contains(line));
        }
        Matcher lateness = LATENESS.matcher(metrics);
        assertTrue(metrics, lateness.find());
        assertTrue(
                "the lateness is a duration, not a time since the epoch or the boot",
                Double.parseDouble(lateness.group(1)) < 30);
    }
}
