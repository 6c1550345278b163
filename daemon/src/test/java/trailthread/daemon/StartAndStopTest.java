package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** Start, failed start and shutdown of the program. */
public class StartAndStopTest {
    private final TestCluster stage;

    public StartAndStopTest() throws Exception {
        stage = new TestCluster();
    }

    @After
    public void end() throws Exception {
        stage.close();
    }

    @Test
    public void itIsReadyOnceItServesAndTheWarmUpReachesNoEndpoint() throws Exception {
        ScriptedServer endpoint = stage.closeAtEnd(ScriptedServer.respondingWith("made"));
        stage.start(TestCluster.SETTINGS, endpoint);
        Socket front = stage.connect();
        Message.send(front, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(200, Message.read(front).status());
        endpoint.assertNoMoreRequests();
    }

    /**
     * Prevents a warm-up request that timed out, and is read only after the node has begun to
     * serve, from being forwarded to an endpoint.
     */
    @Test
    public void aWarmUpRequestReadTooLateReachesNoEndpoint() throws Exception {
        ScriptedServer endpoint = stage.closeAtEnd(ScriptedServer.respondingWith("made"));
        stage.start(TestCluster.SETTINGS, endpoint);
        Socket late = stage.connect();
        Message.send(
                late,
                TestCluster.requestText("use", "", "")
                        .replaceFirst(
                                "X-Correlation-Id: .*",
                                "X-Correlation-Id: warm-up-8c1f30d27a5be964-1"));
        assertEquals(502, Message.read(late).status());
        endpoint.assertNoMoreRequests();
        assertEquals("made", stage.sendRequest("use").body());
    }

    /** The nodes of a busy fleet need this one soon; in an idle fleet it may warm up for longer. */
    @Test
    public void aStartIsShorterIfEndpointsAreBusy() throws Exception {
        String probes =
                TestCluster.SETTINGS.replace("\"limits\":{", "\"limits\":{\"probes\":true,");
        for (int inflight : new int[] {3, 0}) {
            ScriptedServer endpoint =
                    stage.closeAtEnd(
                            ScriptedServer.respondingWith(
                                    "{\"inflight\":" + inflight + ",\"queue\":0}"));
            stage.start(probes, endpoint);
            assertEquals("GET /status/load HTTP/1.1", endpoint.takeRequest().startLine());
            String line = stage.awaitLogLine("warmed up");
            assertEquals(line, inflight > 0, line.contains("busy"));
            stage.terminate();
            assertEquals(0, stage.exitStatus());
        }
    }

    /** Prevents a SIGHUP before the node is started from ending the process or being lost. */
    @Test
    public void aSighupDuringTheStartIsRemembered() throws Exception {
        try (OutputStream out = stage.startWithConfigPipe()) {
            stage.signal("HUP");
            out.write(stage.config(TestCluster.SETTINGS).getBytes(StandardCharsets.UTF_8));
        }
        stage.awaitLogLine("serves on");
        try (OutputStream out = stage.openConfigPipe()) { // read once more
            out.write(stage.config(TestCluster.SETTINGS).getBytes(StandardCharsets.UTF_8));
        }
        stage.awaitLogLine("configuration taken over");
    }

    /** Guards against a node that never reloads, and does not say so. */
    @Test
    public void anIgnoredSighupIsReportedAtTheStart() throws Exception {
        stage.launcher = List.of("nohup");
        stage.start(TestCluster.SETTINGS);
        String warning = stage.awaitLogLine("SIGHUP was ignored");
        assertTrue(warning, warning.contains("WARN") && warning.contains("--default-signal=HUP"));
        stage.reload(stage.config(TestCluster.SETTINGS));
        stage.terminate();
        assertEquals("the signal did not end it", 0, stage.exitStatus());
    }

    /** Guards against a node that does not reload, although it is started as the warning says. */
    @Test
    public void aSighupIgnoredByTheCallerIsHandledIfTheLauncherRestoresIt() throws Exception {
        stage.launcher = List.of("nohup", "env", "--default-signal=HUP");
        stage.start(TestCluster.SETTINGS);
        stage.reload(stage.config(TestCluster.SETTINGS));
        stage.awaitLogLine("configuration taken over");
    }

    /**
     * Prevents a shutdown that waits by the deadlines in force from cutting off requests that were
     * admitted with longer ones.
     */
    @Test
    public void callsTakenUnderLongerDeadlinesAreWaitedFor() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer endpoint = stage.closeAtEnd(ScriptedServer.respondingAfter(answer, "made"));
        stage.start(TestCluster.SETTINGS, endpoint);
        Socket client = stage.connect();
        Message.send(client, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        stage.reload(
                stage.config(
                        TestCluster.SETTINGS.replace(
                                "\"deadline_ns\":20000000000", "\"deadline_ns\":100000000"),
                        endpoint));
        stage.awaitLogLine("configuration taken over");
        stage.terminate();
        stage.awaitLogLine("stops");
        Thread.sleep(3_000); // past 1.7 s and the new deadlines
        answer.countDown();
        assertEquals("made", Message.read(client).body());
        assertEquals(0, stage.exitStatus());
    }

    @Test
    public void onSigtermItServesOnThenFinishesItsRequestsAndExitsWithZero() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer endpoint = stage.closeAtEnd(ScriptedServer.respondingAfter(answer, "made"));
        stage.start(TestCluster.SETTINGS, endpoint);
        Socket before = stage.connect();
        Message.send(before, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        stage.terminate();
        stage.awaitLogLine("stops");
        Socket after = stage.connect();
        Message.send(after, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        Socket idle = stage.connect();
        Message.send(idle, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals("the front is to go elsewhere", 503, Message.read(idle).status());
        assertEquals("idle connections are closed", -1, idle.getInputStream().read());
        answer.countDown();
        for (Socket client : new Socket[] {before, after}) {
            Message served = Message.read(client);
            assertEquals("made", served.body());
            assertEquals("close", served.header("Connection"));
        }
        assertEquals(0, stage.exitStatus());
    }

    @Test
    public void startErrorsAreReportedInOneLine() throws Exception {
        String good = stage.config(TestCluster.SETTINGS);
        String[][] cases = {
            {good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "listen"},
            {good.replace("\"seed\":\"8c", "\"seed\":\"xx"), "seed"},
            {good.replace("\"fragile\"", "\"brittle\""), "categories.2.semantics"},
            {
                good.replace("\"listen\"", "\"levels\":{\"on\":true,\"keep\":2},\"listen\""),
                "levels.keep"
            },
            {"{\"name\":", "name"},
        };
        for (String[] c : cases) {
            stage.log.clear();
            stage.runNode(c[0], "serve");
            assertEquals(2, stage.exitStatus());
            String line = stage.awaitLogLine("trailthread: ");
            assertTrue(line, line.contains(c[1]));
            assertEquals("one line", 1, stage.log.size());
        }
        stage.runNode(good, "serve", "now");
        assertEquals(2, stage.exitStatus());
        assertNotNull(stage.awaitLogLine("usage: "));
    }
}
