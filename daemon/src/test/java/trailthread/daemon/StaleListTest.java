package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * The endpoint list is held under a lease: each sign of life of discovery renews it, and a process
 * that has just started holds none.
 *
 * <p>Prevents a node from sending requests to servers that were removed while it did not hear from
 * discovery. Such a removal counts as announced 6 s after it was made, whether or not the node has
 * learned of it.
 */
public class StaleListTest {
    private static final int SERVERS = 3_200;

    /** A change counts as announced this long after it was made. */
    private static final long UPDATE_DUE_MS = 6_000;

    private final TestCluster cluster;
    private final ScriptedServer gone;
    private final ScriptedServer present;
    private final CountDownLatch discoveryRecovers = new CountDownLatch(1);

    public StaleListTest() throws Exception {
        cluster = new TestCluster();
        gone = cluster.closeAtEnd(ScriptedServer.respondingWith("gone"));
        present = cluster.closeAtEnd(ScriptedServer.respondingWith("present"));
    }

    @After
    public void end() throws Exception {
        discoveryRecovers.countDown();
        cluster.close();
    }

    private ScriptedServer[] thousandsOf(ScriptedServer server) {
        ScriptedServer[] servers = new ScriptedServer[SERVERS];
        Arrays.fill(servers, server);
        return servers;
    }

    /** Accepts a request, and does not respond until discovery recovers. */
    private void respondAfterRecovery(Message request) throws IOException {
        ScriptedServer.await(discoveryRecovers);
        TestCluster.beginWatch(request);
        TestCluster.sendWatchLine(
                request, TestCluster.endpointListJson(14, true, "active", thousandsOf(present)));
    }

    private void assertRejected() throws Exception {
        Message answer = cluster.sendRequest("use");
        assertEquals("rejected", 503, answer.status());
        gone.assertNoMoreRequests();
    }

    private void awaitServedBy(String server) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(ScriptedServer.TIMEOUT_S);
        while (!cluster.sendRequest("use").body().equals(server)) {
            assertTrue("served in the end", System.nanoTime() < until);
            Thread.sleep(20);
        }
    }

    @Test
    public void aNewProcessDoesNotUseTheListOfThePreviousOne() throws Exception {
        cluster.discovery.setScript(this::respondAfterRecovery);
        cluster.start(TestCluster.SETTINGS, thousandsOf(gone));
        assertRejected();
        discoveryRecovers.countDown();
        awaitServedBy("present");
        gone.assertNoMoreRequests();
    }

    /**
     * The watch breaks and no later poll is answered; changes made meanwhile nevertheless count as
     * announced.
     */
    @Test
    public void aListWithoutConfirmationExpires() throws Exception {
        loseWatch(this::respondAfterRecovery);
        assertListExpires();
        discoveryRecovers.countDown();
        awaitServedBy("present");
        gone.assertNoMoreRequests();
    }

    /** Starts a node that serves by a list, and then loses its watch. */
    private void loseWatch(ScriptedServer.Script laterRequests) throws Exception {
        cluster.discovery.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    TestCluster.sendWatchLine(
                            request, TestCluster.endpointListJson(1, true, "active", gone));
                });
        cluster.start(TestCluster.SETTINGS, gone);
        Message watch = cluster.discovery.takeRequest();
        awaitServedBy("gone");
        cluster.discovery.setScript(laterRequests);
        watch.connection().close();
    }

    private void assertListExpires() throws Exception {
        Thread.sleep(UPDATE_DUE_MS + 500);
        gone.requests.clear();
        assertRejected();
    }

    private void waitInQueue(long waitMs) {
        try {
            var unused = discoveryRecovers.await(waitMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a lease that rejections of a crowded discovery renew. */
    @Test
    public void aListExpiresWhileDiscoveryRejectsPollsThatWaited() throws Exception {
        loseWatch(
                request -> {
                    waitInQueue(800);
                    request.respond("503 Busy", "", "");
                });
        assertListExpires();
    }

    /** Guards against a lease that a crowded discovery renews by closing connections. */
    @Test
    public void aListExpiresWhileDiscoveryClosesPollsThatWaited() throws Exception {
        loseWatch(
                request -> {
                    waitInQueue(1_500);
                    request.connection().close();
                });
        assertListExpires();
    }

    /** A discovery service that is down can't have announced anything, so the node serves on. */
    @Test
    public void theListIsKeptWhileDiscoveryIsDown() throws Exception {
        cluster.discovery.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    TestCluster.sendWatchLine(
                            request, TestCluster.endpointListJson(1, true, "active", present));
                });
        cluster.start(TestCluster.SETTINGS, present);
        awaitServedBy("present");
        cluster.discovery.close();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * UPDATE_DUE_MS);
        while (System.nanoTime() < until) {
            assertEquals("present", cluster.sendRequest("use").body());
            Thread.sleep(100);
        }
    }
}
