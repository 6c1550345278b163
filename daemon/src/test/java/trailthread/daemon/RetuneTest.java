package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** Reloading settings at SIGHUP: all of them are applied, or none. */
public class RetuneTest extends WithAdminServer {
    private static final String OTHERS =
            TestCluster.SETTINGS
                    .replace("\"name\":\"use\"", "\"name\":\"study\"")
                    .replace("\"most_tries\":6", "\"most_tries\":1");

    @Test
    public void classesAreAddedAndRemovedAndRequestsInFlightKeepTheirs() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer endpoint = stage.closeAtEnd(ScriptedServer.respondingAfter(answer, "made"));
        stage.start(TestCluster.SETTINGS, endpoint);
        assertEquals(400, stage.sendRequest("study").status());
        Socket atWork = stage.connect();
        Message.send(atWork, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        Socket half = stage.connect();
        String request = TestCluster.requestText("use", "", "");
        Message.send(half, request.substring(0, request.length() - 2));
        stage.sendRequest("none"); // the node has read what was sent before
        stage.reload(stage.config(OTHERS, endpoint));
        stage.awaitMetricLine("app_conf_loaded 1");
        stage.awaitMetricLine("app_answered{group=\"study\"} 0");
        assertEquals(400, stage.sendRequest("use").status());
        Message.send(half, request.substring(request.length() - 2));
        endpoint.takeRequest();
        answer.countDown();
        assertEquals("made", Message.read(atWork).body());
        assertEquals("made", Message.read(half).body());
        assertEquals("made", stage.sendRequest("study").body());
        stage.awaitMetricLine("app_answered{group=\"use\"} 2");
    }

    @Test
    public void fewerAttemptsApplyAtOnce() throws Exception {
        ScriptedServer endpoint =
                stage.closeAtEnd(
                        new ScriptedServer(request -> request.respond("500 Error", "", "")));
        ScriptedServer other =
                stage.closeAtEnd(
                        new ScriptedServer(request -> request.respond("500 Error", "", "")));
        stage.start(TestCluster.SETTINGS, endpoint, other);
        assertTrue(
                "more than one attempt",
                stage.sendRequest("state").status() >= 500
                        && endpoint.requests.size() + other.requests.size() > 1);
        stage.reload(stage.config(OTHERS, endpoint, other));
        stage.awaitMetricLine("app_conf_loaded 1");
        int before = endpoint.requests.size() + other.requests.size();
        stage.sendRequest("state");
        assertTrue(endpoint.requests.size() + other.requests.size() - before <= 1);
    }

    @Test
    public void severalReloadsInARowEndWithTheNewestFile() throws Exception {
        ScriptedServer endpoint = stage.closeAtEnd(ScriptedServer.respondingWith("made"));
        stage.start(TestCluster.SETTINGS, endpoint);
        for (int i = 0; i < 20; i++) {
            stage.reload(stage.config(i % 2 == 0 ? OTHERS : TestCluster.SETTINGS, endpoint));
        }
        stage.reload(
                stage.config(
                        OTHERS.replace("\"study\"", "\"newest\""),
                        endpoint)); // no other file has that class
        boolean newest = false;
        for (int i = 0; !newest && i < 10 * ScriptedServer.TIMEOUT_S; i++) {
            newest = stage.sendRequest("newest").status() == 200;
            Thread.sleep(newest ? 0 : 100);
        }
        assertTrue("the newest is taken", newest);
        stage.reload("{");
        stage.awaitLogLine(
                "configuration not taken over"); // signals before it may still be under way, and
        // read this one
        assertEquals(200, stage.sendRequest("newest").status());
        assertEquals(400, stage.sendRequest("use").status());
    }

    @Test
    public void aBrokenFileChangesNothing() throws Exception {
        ScriptedServer endpoint = stage.closeAtEnd(ScriptedServer.respondingWith("made"));
        stage.start(TestCluster.SETTINGS, endpoint);
        String good = stage.config(OTHERS, endpoint);
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
            good.replaceFirst("\"discovery\":\"[0-9.:]+\"", "\"discovery\":\"there\""),
        };
        for (int i = 0; i < broken.length; i++) {
            assertTrue(i + " is broken", !broken[i].equals(good));
            stage.reload(broken[i]);
            stage.awaitMetricLine("app_conf_invalid " + (i + 1));
        }
        assertEquals("made", stage.sendRequest("use").body());
        assertEquals(400, stage.sendRequest("study").status());
        stage.reload(good.replace("20000000000,", "20000000000.0,"));
        stage.awaitMetricLine("app_conf_loaded 1");
        assertEquals("made", stage.sendRequest("study").body());
    }
}
