package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * The endpoint list is a lease: each sign of life of discovery renews it, and a process that has
 * just started holds none.
 *
 * <p>Prevents a node from sending requests to servers that were removed while it did not hear from
 * discovery. Such a removal counts as announced 6 s after it was made, whether or not the node has
 * learned of it.
 */
public class StaleListTest {
    private static final int SERVERS = 3_200;

    /** How long after a change it counts as announced. */
    private static final long NEWS_DUE_MS = 6_000;

    private final TestCluster stage;
    private final ScriptedServer gone;
    private final ScriptedServer present;
    private final CountDownLatch answers = new CountDownLatch(1);

    public StaleListTest() throws Exception {
        stage = new TestCluster();
        gone = stage.closeAtEnd(ScriptedServer.respondingWith("gone"));
        present = stage.closeAtEnd(ScriptedServer.respondingWith("present"));
    }

    @After
    public void end() throws Exception {
        answers.countDown();
        stage.close();
    }

    private ScriptedServer[] thousands(ScriptedServer peer) {
        ScriptedServer[] servers = new ScriptedServer[SERVERS];
        Arrays.fill(servers, peer);
        return servers;
    }

    /** Discovery is overloaded: it accepts requests, and responds to none until released. */
    private void crowd() {
        stage.discovery.setScript(
                request -> {
                    ScriptedServer.await(answers);
                    TestCluster.beginWatch(request);
                    TestCluster.sendWatchLine(
                            request,
                            TestCluster.endpointListJson(14, true, "active", thousands(present)));
                });
    }

    private void assertRefused() throws Exception {
        Message answer = stage.sendRequest("use");
        assertEquals("present", 503, answer.status());
        gone.assertNoMoreRequests();
    }

    private void awaitServedBy(String server) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(ScriptedServer.TIMEOUT_S);
        while (!stage.sendRequest("use").body().equals(server)) {
            assertTrue("served in the end", System.nanoTime() < until);
            Thread.sleep(20);
        }
    }

    @Test
    public void aNewProcessDoesNotUseTheListOfThePreviousOne() throws Exception {
        crowd();
        stage.start(TestCluster.SETTINGS, thousands(gone));
        assertRefused();
        answers.countDown();
        awaitServedBy("present");
        gone.assertNoMoreRequests();
    }

    /**
     * The watch breaks and no later poll is answered; changes made meanwhile count as announced all
     * the same.
     */
    @Test
    public void aListWithoutConfirmationExpires() throws Exception {
        stage.discovery.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    TestCluster.sendWatchLine(
                            request, TestCluster.endpointListJson(1, true, "active", gone));
                });
        stage.start(TestCluster.SETTINGS, gone);
        Message watch = stage.discovery.takeRequest();
        awaitServedBy("gone");
        crowd();
        watch.connection().close();
        Thread.sleep(NEWS_DUE_MS + 500);
        gone.requests.clear();
        assertRefused();
        answers.countDown();
        awaitServedBy("present");
        gone.assertNoMoreRequests();
    }

    /** A discovery service that is down can't have announced anything, so the node serves on. */
    @Test
    public void theListIsKeptWhileDiscoveryIsDown() throws Exception {
        stage.discovery.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    TestCluster.sendWatchLine(
                            request, TestCluster.endpointListJson(1, true, "active", present));
                });
        stage.start(TestCluster.SETTINGS, present);
        awaitServedBy("present");
        stage.discovery.close();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * NEWS_DUE_MS);
        while (System.nanoTime() < until) {
            assertEquals("present", stage.sendRequest("use").body());
            Thread.sleep(100);
        }
    }
}
