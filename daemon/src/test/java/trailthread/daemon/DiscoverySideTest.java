package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/** The node follows discovery, and keeps its list while discovery fails, over real sockets. */
public class DiscoverySideTest {
    private static final long PIECE_MS = 500;
    private final TestCluster cluster;
    private final ScriptedServer first;
    private final ScriptedServer second;

    public DiscoverySideTest() throws Exception {
        cluster = new TestCluster();
        first = cluster.closeAtEnd(ScriptedServer.respondingWith("first"));
        second = cluster.closeAtEnd(ScriptedServer.respondingWith("second"));
    }

    @After
    public void end() throws Exception {
        cluster.close();
    }

    private static String withId(String id, String list) {
        return list.replace("\"w0\"", "\"" + id + "\"");
    }

    @Test
    public void changesAreAppliedAndWatchesNameTheKnownGeneration() throws Exception {
        cluster.start(TestCluster.SETTINGS, first);
        Message watch = cluster.discovery.takeRequest();
        assertEquals("GET /v1/endpoints?stream=1&index=1 HTTP/1.1", watch.startLine());
        assertEquals(
                "the list from the configuration is used",
                "first",
                cluster.sendRequest("use").body());

        TestCluster.sendWatchLine(watch, "");
        TestCluster.sendWatchLine(
                watch, withId("w1", TestCluster.endpointListJson(7, false, "active", second)));
        TestCluster.sendWatchLine(watch, TestCluster.endpointListJson(8, false, "leaving", first));
        // Its response arrives after the node has read the lines of discovery.
        cluster.sendRequest("other");
        while (!cluster.sendRequest("use").body().equals("second")) {
            assertTrue("the drain is applied in time", first.requests.size() < 100);
        }
        int requestsBefore = first.requests.size();
        for (int i = 0; i < 10; i++) {
            assertEquals("second", cluster.sendRequest("use").body());
        }
        assertEquals(
                "no new request to a draining endpoint", requestsBefore, first.requests.size());
        watch.connection().close();
        assertEquals(
                "GET /v1/endpoints?stream=1&index=8 HTTP/1.1",
                cluster.discovery.takeRequest().startLine());
    }

    @Test
    public void aCompleteListReplacesTheKnownOne() throws Exception {
        cluster.start(TestCluster.SETTINGS, first);
        TestCluster.sendWatchLine(
                cluster.discovery.takeRequest(),
                withId("w1", TestCluster.endpointListJson(2, true, "active", second)));
        while (!cluster.sendRequest("use").body().equals("second")) {
            assertTrue(first.requests.size() < 100);
        }
        for (int i = 0; i < 10; i++) {
            assertEquals("second", cluster.sendRequest("use").body());
        }
    }

    /** Prevents the first line of an indented list from being parsed alone. */
    @Test
    public void anIndentedListIsRead() throws Exception {
        cluster.start(TestCluster.SETTINGS, first);
        String list = withId("w1", TestCluster.endpointListJson(2, true, "active", second));
        TestCluster.sendWatchLine(
                cluster.discovery.takeRequest(),
                list.replace("{", "{\n  ").replace(",", ",\n  ").replace("}", "\n}"));
        while (!cluster.sendRequest("use").body().equals("second")) {
            assertTrue(first.requests.size() < 100);
        }
        cluster.discovery.assertNoMoreRequests();
    }

    @Test
    public void aMalformedUpdateEndsTheWatchAndTheListIsKept() throws Exception {
        cluster.start(TestCluster.SETTINGS, first);
        Message watch = cluster.discovery.takeRequest();
        TestCluster.sendWatchLine(
                watch,
                TestCluster.endpointListJson(9, true, "active", second)
                        .replace("\"hostPort\"", "\"other\""));
        assertEquals(
                "GET /v1/endpoints?stream=1&index=1 HTTP/1.1",
                cluster.discovery.takeRequest().startLine());
        assertEquals("first", cluster.sendRequest("use").body());
    }

    @Test
    public void aFailedWatchIsRetried() throws Exception {
        cluster.discovery.setScript(
                request -> {
                    if (cluster.discovery.requests.size() == 1) {
                        request.respond("503 Busy", "", "");
                    } else {
                        TestCluster.beginWatch(request);
                        TestCluster.sendWatchLine(
                                request, TestCluster.endpointListJson(2, true, "active", second));
                    }
                });
        cluster.start(TestCluster.SETTINGS);
        cluster.awaitLogLine("answers 503");
        assertEquals("second", cluster.sendRequest("use").body());
    }

    /** Prevents a node from keeping its first list because it opens no watch. */
    @Test
    public void aWatchIsKeptOpenWhereListsArePushed() throws Exception {
        cluster.start(
                TestCluster.SETTINGS.replace(
                        "\"discovery\":\"on_request\"", "\"discovery\":\"pushed\""),
                first);
        Message watch = cluster.discovery.takeRequest();
        TestCluster.sendWatchLine(
                watch, withId("w1", TestCluster.endpointListJson(2, true, "active", second)));
        while (!cluster.sendRequest("use").body().equals("second")) {
            assertTrue(first.requests.size() < 100);
        }
        cluster.discovery.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    TestCluster.sendWatchLine(
                            request, TestCluster.endpointListJson(3, true, "active", first));
                });
        watch.connection().close();
        while (!cluster.sendRequest("use").body().equals("first")) {
            assertTrue(second.requests.size() < 100);
        }
    }

    /**
     * The backoff after a failure at the old address may last longer than updates of the new one
     * may go unread.
     */
    @Test
    public void aNewAddressIsPolledAtOnceDuringTheBackoffAfterAFailure() throws Exception {
        ScriptedServer moved =
                cluster.closeAtEnd(
                        new ScriptedServer(
                                request -> {
                                    TestCluster.beginWatch(request);
                                    TestCluster.sendWatchLine(
                                            request,
                                            withId(
                                                    "w1",
                                                    TestCluster.endpointListJson(
                                                            2, true, "active", second)));
                                }));
        cluster.discovery.setScript(request -> request.respond("503 Busy", "", ""));
        String anHour =
                TestCluster.SETTINGS.replace(
                        "\"ask_every_ns\":1000000000", "\"ask_every_ns\":3600000000000000");
        cluster.start(anHour, first);
        cluster.awaitLogLine("answers 503");
        cluster.reload(cluster.config(moved, anHour, first));
        while (!cluster.sendRequest("use").body().equals("second")) {
            assertTrue(first.requests.size() < 100);
        }
    }

    /** If the network fails, the watch stays open, but heartbeats stop. */
    @Test
    public void aSilentWatchIsClosed() throws Exception {
        cluster.start(TestCluster.SETTINGS, first);
        Message watch = cluster.discovery.takeRequest();
        TestCluster.sendWatchLine(watch, "");
        cluster.awaitLogLine("is silent");
        cluster.discovery.takeRequest();
        assertEquals("first", cluster.sendRequest("use").body());
    }

    /**
     * A list of thousands of endpoints may take longer than the timeout for a response; while parts
     * of it arrive, the watch is not silent.
     */
    @Test
    public void aSlowListIsReadToItsEnd() throws Exception {
        cluster.discovery.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    sendInPieces(
                            request,
                            withId("w1", TestCluster.endpointListJson(2, true, "active", second))
                                    + "\n",
                            10);
                });
        cluster.start(TestCluster.SETTINGS, first);
        while (!cluster.sendRequest("use").body().equals("second")) {
            assertEquals("one request", 1, cluster.discovery.requests.size());
        }
        assertEquals("one request", 1, cluster.discovery.requests.size());
        first.assertNoMoreRequests();
    }

    /** Prevents an endless list from keeping the node from polling again. */
    @Test
    public void anEndlessListIsAborted() throws Exception {
        cluster.discovery.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    sendInPieces(request, "{\"generation\":2," + " ".repeat(1_000), 500);
                });
        cluster.start(TestCluster.SETTINGS, first);
        cluster.awaitLogLine("is silent");
    }

    private static void sendInPieces(Message watch, String text, int pieces) throws IOException {
        int length = (text.length() + pieces - 1) / pieces;
        for (int at = 0; at < text.length(); at += length) {
            String piece = text.substring(at, Math.min(text.length(), at + length));
            Message.send(
                    watch.connection(),
                    Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
            pause(PIECE_MS);
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Prevents SIGHUP from ending the program, and the end of the old watch from being taken for a
     * failure of the new one.
     */
    @Test
    public void onSighupTheWatchMovesToTheNewAddressAndTheListIsKept() throws Exception {
        cluster.start(TestCluster.SETTINGS, first);
        Message watch = cluster.discovery.takeRequest();
        TestCluster.sendWatchLine(
                watch, withId("w1", TestCluster.endpointListJson(7, true, "active", second)));
        while (!cluster.sendRequest("use").body().equals("second")) {
            assertTrue(first.requests.size() < 100);
        }
        ScriptedServer moved =
                cluster.closeAtEnd(new ScriptedServer(TestCluster::answerWatchUnchanged));
        cluster.reload("{\"name\":");
        cluster.awaitLogLine("configuration not applied: name");
        for (int i = 0; i < 3; i++) { // several signals have the effect of one
            cluster.reload(cluster.config(moved, TestCluster.SETTINGS, first));
        }
        Message movedWatch = moved.takeRequest();
        assertEquals("GET /v1/endpoints?stream=1&index=7 HTTP/1.1", movedWatch.startLine());
        watch.connection().close();
        assertEquals("the list is kept", "second", cluster.sendRequest("use").body());
        TestCluster.sendWatchLine(
                movedWatch, TestCluster.endpointListJson(8, true, "active", first));
        while (!cluster.sendRequest("use").body().equals("first")) {
            assertTrue(second.requests.size() < 100);
        }
        moved.assertNoMoreRequests();
        cluster.discovery.assertNoMoreRequests();
        cluster.terminate();
        assertEquals(0, cluster.exitStatus());
        assertTrue(
                cluster.log.toString(),
                cluster.log.stream().noneMatch(line -> line.contains("WARN")));
    }
}
