package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** At SIGHUP, all reloaded settings are applied, or none. */
public class SettingsReloadTest extends WithAdminServer {
    private static final String OTHER_SETTINGS =
            TestCluster.SETTINGS
                    .replace("\"name\":\"use\"", "\"name\":\"study\"")
                    .replace("\"most_tries\":6", "\"most_tries\":1");

    @Test
    public void classesAreAddedAndRemovedAndRequestsInFlightKeepTheirs() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer endpoint =
                cluster.closeAtEnd(ScriptedServer.respondingAfter(answer, "made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        assertEquals(400, cluster.sendRequest("study").status());
        Socket inFlight = cluster.connect();
        Message.send(inFlight, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        Socket incomplete = cluster.connect();
        String request = TestCluster.requestText("use", "", "");
        Message.send(incomplete, request.substring(0, request.length() - 2));
        cluster.sendRequest("none"); // the node has read what was sent before
        cluster.reload(cluster.config(OTHER_SETTINGS, endpoint));
        cluster.awaitMetricLine("app_conf_loaded 1");
        cluster.awaitMetricLine("app_answered{group=\"study\"} 0");
        assertEquals(400, cluster.sendRequest("use").status());
        Message.send(incomplete, request.substring(request.length() - 2));
        endpoint.takeRequest();
        answer.countDown();
        assertEquals("made", Message.read(inFlight).body());
        assertEquals("made", Message.read(incomplete).body());
        assertEquals("made", cluster.sendRequest("study").body());
        cluster.awaitMetricLine("app_answered{group=\"use\"} 2");
    }

    @Test
    public void fewerAttemptsApplyAtOnce() throws Exception {
        ScriptedServer endpoint =
                cluster.closeAtEnd(
                        new ScriptedServer(request -> request.respond("500 Error", "", "")));
        ScriptedServer other =
                cluster.closeAtEnd(
                        new ScriptedServer(request -> request.respond("500 Error", "", "")));
        cluster.start(TestCluster.SETTINGS, endpoint, other);
        assertTrue(
                "more than one attempt",
                cluster.sendRequest("state").status() >= 500
                        && endpoint.requests.size() + other.requests.size() > 1);
        cluster.reload(cluster.config(OTHER_SETTINGS, endpoint, other));
        cluster.awaitMetricLine("app_conf_loaded 1");
        int before = endpoint.requests.size() + other.requests.size();
        cluster.sendRequest("state");
        assertTrue(endpoint.requests.size() + other.requests.size() - before <= 1);
    }

    @Test
    public void severalReloadsInARowEndWithTheNewestFile() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        for (int i = 0; i < 20; i++) {
            cluster.reload(
                    cluster.config(i % 2 == 0 ? OTHER_SETTINGS : TestCluster.SETTINGS, endpoint));
        }
        // No other file has this class.
        cluster.reload(cluster.config(OTHER_SETTINGS.replace("\"study\"", "\"newest\""), endpoint));
        boolean newest = false;
        for (int i = 0; !newest && i < 10 * ScriptedServer.TIMEOUT_S; i++) {
            newest = cluster.sendRequest("newest").status() == 200;
            Thread.sleep(newest ? 0 : 100);
        }
        assertTrue("the newest file is applied", newest);
        cluster.reload("{");
        // Earlier signals may still be pending; their reloads read this broken file as well.
        cluster.awaitLogLine("configuration not applied");
        assertEquals(200, cluster.sendRequest("newest").status());
        assertEquals(400, cluster.sendRequest("use").status());
    }

    @Test
    public void aBrokenFileChangesNothing() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        String good = cluster.config(OTHER_SETTINGS, endpoint);
        String[] broken = {
            "",
            "{",
            good.substring(0, good.length() - 1),
            good.substring(0, good.length() / 2),
            good + "}",
            good.replace("\"seed\":\"8c1f30d27a5be964\",", ""),
            good.replace("\"settings\":", "\"sittings\":"),
            good.replace("\"categories\":", "\"cats\":"),
            good.replace("\"most_tries\":1,", ""),
            good.replace("\"most_tries\":1", "\"most_tries\":0"),
            good.replace("\"most_tries\":1", "\"most_tries\":null"),
            good.replace("\"most_tries\":1", "\"most_tries\":\"few\""),
            good.replaceFirst("\"deadline_ns\":20000000000,", ""),
            good.replaceFirst("\"deadline_ns\":20000000000", "\"deadline_ns\":-1"),
            good.replaceFirst("\"deadline_ns\":20000000000", "\"deadline_ns\":1.5"),
            good.replaceFirst("\"deadline_ns\":20000000000", "\"deadline_ns\":true"),
            good.replaceFirst(",\"semantics\":\"retryable\"", ""),
            good.replace("\"group\":\"cell\",", ""),
            good.replace("\"group\":\"cell\"", "\"group\":\"cell\",\"group\":\"all\""),
            good.replace(",\"window_ns\":20000000000", ""),
            good.replaceFirst("\"discovery\":\"[0-9.:]+\"", "\"discovery\":\"there\""),
        };
        for (int i = 0; i < broken.length; i++) {
            assertTrue(i + " is broken", !broken[i].equals(good));
            cluster.reload(broken[i]);
            cluster.awaitMetricLine("app_conf_invalid " + (i + 1));
        }
        assertEquals("made", cluster.sendRequest("use").body());
        assertEquals(400, cluster.sendRequest("study").status());
        cluster.reload(good.replace("20000000000,", "20000000000.0,"));
        cluster.awaitMetricLine("app_conf_loaded 1");
        assertEquals("made", cluster.sendRequest("study").body());
    }

    /**
     * Guards against a node that is never ready, or fails all, as its classes are worth nothing.
     */
    @Test
    public void classesThatAreAllWorthNothingAreServed() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        String settings = TestCluster.SETTINGS.replace("\"aim_ns\"", "\"gain\":0.0,\"aim_ns\"");
        cluster.start(settings, endpoint);
        assertEquals("made", cluster.sendRequest("state").body());
        cluster.reload(cluster.config(settings, endpoint));
        cluster.awaitLogLine("configuration applied");
        assertEquals("made", cluster.sendRequest("use").body());
    }
}
