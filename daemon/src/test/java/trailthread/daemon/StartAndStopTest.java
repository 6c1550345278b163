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
    private final TestCluster cluster;

    public StartAndStopTest() throws Exception {
        cluster = new TestCluster();
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }

    @Test
    public void theNodeIsReadyOnceItServesAndItsWarmUpReachesNoEndpoint() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket frontEnd = cluster.connect();
        Message.send(frontEnd, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(200, Message.read(frontEnd).status());
        endpoint.assertNoMoreRequests();
    }

    /**
     * Prevents a warm-up request that timed out, and is read only after the node has begun to
     * serve, from being forwarded to an endpoint.
     */
    @Test
    public void aWarmUpRequestReadTooLateReachesNoEndpoint() throws Exception {
        ScriptedServer endpoint = cluster.closeAtEnd(ScriptedServer.respondingWith("made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket late = cluster.connect();
        Message.send(
                late,
                TestCluster.requestText("use", "", "")
                        .replaceFirst(
                                "X-Correlation-Id: .*",
                                "X-Correlation-Id: warm-up-8c1f30d27a5be964-1"));
        assertEquals(502, Message.read(late).status());
        endpoint.assertNoMoreRequests();
        assertEquals("made", cluster.sendRequest("use").body());
    }

    /** A busy fleet needs the new node soon; in an idle fleet the node may warm up for longer. */
    @Test
    public void aStartIsShorterIfEndpointsAreBusy() throws Exception {
        String probes =
                TestCluster.SETTINGS.replace("\"limits\":{", "\"limits\":{\"probes\":true,");
        for (int inflight : new int[] {3, 0}) {
            ScriptedServer endpoint =
                    cluster.closeAtEnd(
                            ScriptedServer.respondingWith(
                                    "{\"inflight\":" + inflight + ",\"queue\":0}"));
            cluster.start(probes, endpoint);
            assertEquals("GET /status/load HTTP/1.1", endpoint.takeRequest().startLine());
            String line = cluster.awaitLogLine("warmed up");
            assertEquals(line, inflight > 0, line.contains("busy"));
            cluster.terminate();
            assertEquals(0, cluster.exitStatus());
        }
    }

    /**
     * Prevents a SIGHUP that arrives before the node is started from ending the process or being
     * lost.
     */
    @Test
    public void aSighupDuringTheStartIsHandledAfterwards() throws Exception {
        try (OutputStream out = cluster.startWithConfigPipe()) {
            cluster.signal("HUP");
            out.write(cluster.config(TestCluster.SETTINGS).getBytes(StandardCharsets.UTF_8));
        }
        cluster.awaitLogLine("serves on");
        try (OutputStream out = cluster.openConfigPipe()) { // the reload reads the pipe again
            out.write(cluster.config(TestCluster.SETTINGS).getBytes(StandardCharsets.UTF_8));
        }
        cluster.awaitLogLine("configuration applied");
    }

    /** Guards against a node that never reloads and does not report it. */
    @Test
    public void anIgnoredSighupIsReportedAtTheStart() throws Exception {
        cluster.launcher = List.of("nohup");
        cluster.start(TestCluster.SETTINGS);
        String warning = cluster.awaitLogLine("SIGHUP was ignored");
        assertTrue(warning, warning.contains("WARN") && warning.contains("--default-signal=HUP"));
        cluster.reload(cluster.config(TestCluster.SETTINGS));
        cluster.terminate();
        assertEquals("SIGHUP did not end the process", 0, cluster.exitStatus());
    }

    /** Guards against a node that does not reload, although it is started as the warning says. */
    @Test
    public void aSighupIgnoredByTheCallerIsHandledIfTheLauncherRestoresIt() throws Exception {
        cluster.launcher = List.of("nohup", "env", "--default-signal=HUP");
        cluster.start(TestCluster.SETTINGS);
        cluster.reload(cluster.config(TestCluster.SETTINGS));
        cluster.awaitLogLine("configuration applied");
    }

    /**
     * Prevents a shutdown that waits for the current deadlines only from cutting off requests that
     * were admitted with longer ones.
     */
    @Test
    public void requestsAdmittedWithLongerDeadlinesAreWaitedFor() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer endpoint =
                cluster.closeAtEnd(ScriptedServer.respondingAfter(answer, "made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket client = cluster.connect();
        Message.send(client, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        cluster.reload(
                cluster.config(
                        TestCluster.SETTINGS.replace(
                                "\"deadline_ns\":20000000000", "\"deadline_ns\":100000000"),
                        endpoint));
        cluster.awaitLogLine("configuration applied");
        cluster.terminate();
        cluster.awaitLogLine("is shutting down");
        Thread.sleep(3_000); // longer than the new deadlines and the 1.7 s for last responses
        answer.countDown();
        assertEquals("made", Message.read(client).body());
        assertEquals(0, cluster.exitStatus());
    }

    @Test
    public void onSigtermTheNodeKeepsServingThenFinishesItsRequestsAndExitsWithZero()
            throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        ScriptedServer endpoint =
                cluster.closeAtEnd(ScriptedServer.respondingAfter(answer, "made"));
        cluster.start(TestCluster.SETTINGS, endpoint);
        Socket before = cluster.connect();
        Message.send(before, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        cluster.terminate();
        cluster.awaitLogLine("is shutting down");
        Socket after = cluster.connect();
        Message.send(after, TestCluster.requestText("use", "", ""));
        endpoint.takeRequest();
        Socket idle = cluster.connect();
        Message.send(idle, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals("the front end is sent to other nodes", 503, Message.read(idle).status());
        assertEquals("idle connections are closed", -1, idle.getInputStream().read());
        answer.countDown();
        for (Socket client : new Socket[] {before, after}) {
            Message served = Message.read(client);
            assertEquals("made", served.body());
            assertEquals("close", served.header("Connection"));
        }
        assertEquals(0, cluster.exitStatus());
    }

    @Test
    public void startErrorsAreReportedInOneLine() throws Exception {
        String good = cluster.config(TestCluster.SETTINGS);
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
            cluster.log.clear();
            cluster.runNode(c[0], "serve");
            assertEquals(2, cluster.exitStatus());
            String line = cluster.awaitLogLine("trailthread: ");
            assertTrue(line, line.contains(c[1]));
            assertEquals("one line", 1, cluster.log.size());
        }
        cluster.runNode(good, "serve", "now");
        assertEquals(2, cluster.exitStatus());
        assertNotNull(cluster.awaitLogLine("usage: "));
    }
}
