package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import trailthread.engine.discovery.DiscoveryClient;
import trailthread.engine.discovery.DiscoveryListener;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.loop.EventLoop;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * An update counts as known since it arrived, or was due, even if it is read later. The grace
 * period of a drain begins then.
 */
public class UpdateDueTest {
    private static final long MS = 1_000_000L;
    private static final long UPDATE_DUE_MS = 6_000;
    private final ScriptedServer discoveryServer;
    private final EventLoop loop;
    private final DiscoveryClient discovery;
    private final BlockingQueue<Long> knownSince = new LinkedBlockingQueue<>();
    private final BlockingQueue<DiscoveryUpdate> updates = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> failures = new LinkedBlockingQueue<>();

    public UpdateDueTest() throws Exception {
        discoveryServer =
                new ScriptedServer(
                        request -> {
                            TestCluster.beginWatch(request);
                            TestCluster.sendWatchLine(
                                    request, TestCluster.endpointListJson(1, true, "active"));
                        });
        loop = new EventLoop("updates");
        String[] hostPort = discoveryServer.hostPort().split(":");
        discovery =
                new DiscoveryClient(
                        loop,
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), Integer.parseInt(hostPort[1])),
                        new DiscoveryListener() {
                            @Override
                            public void listUpdated(DiscoveryUpdate update, long since) {
                                updates.add(update); // before the time, which the tests await
                                knownSince.add(since);
                            }

                            @Override
                            public void listRequestFailed() {
                                failures.add(loop.now());
                            }
                        });
        loop.execute(() -> discovery.watch(true));
    }

    @After
    public void end() throws Exception {
        discoveryServer.close();
        loop.xnioWorker().shutdownNow();
    }

    private long nextKnownSince() throws InterruptedException {
        Long since = knownSince.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull("an update is passed on", since);
        return since;
    }

    @Test
    public void anUpdateReadLateIsKnownSinceItArrived() throws Exception {
        Message watch = discoveryServer.takeRequest();
        nextKnownSince();
        long arrivedBy = sendUnread(watch, TestCluster.endpointListJson(2, true, "leaving"));
        assertTrue("known since it arrived", nextKnownSince() <= arrivedBy);
    }

    /**
     * Sends a line that stays unread, as the loop is blocked; returns a time by which it had
     * arrived.
     */
    private long sendUnread(Message watch, String line) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    ScriptedServer.await(resume);
                });
        ScriptedServer.await(blocked);
        TestCluster.sendWatchLine(watch, line);
        final long arrivedBy = loop.now();
        Thread.sleep(300);
        resume.countDown();
        return arrivedBy;
    }

    @Test
    public void anUpdateDueWithoutAWatchIsKnownSinceItWasDue() throws Exception {
        nextKnownSince();
        assertUpdateDueAfterSilenceSince(loop.now());
    }

    /** A heartbeat does not cover what changed after it arrived and before a late loop read it. */
    @Test
    public void anUpdateIsDueSinceTheLastHeartbeatArrivedNotSinceItWasRead() throws Exception {
        Message watch = discoveryServer.takeRequest();
        nextKnownSince();
        assertUpdateDueAfterSilenceSince(sendUnread(watch, ""));
    }

    /**
     * Prevents the end of a watch without changes from being taken for a failure, after which the
     * decision module would poll again.
     */
    @Test
    public void aNewWatchConfirmsThatNothingHasChanged() throws Exception {
        Message watch = discoveryServer.takeRequest();
        nextKnownSince();
        discoveryServer.setScript(
                request -> {
                    TestCluster.beginWatch(request);
                    TestCluster.sendWatchLine(request, "");
                });
        watch.connection().close();
        assertNotNull(
                "the end of the watch is noticed",
                failures.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
        loop.execute(() -> discovery.watch(true));
        nextKnownSince();
        updates.remove();
        assertEquals(new DiscoveryUpdate(1, false, List.of()), updates.remove());
    }

    private void assertUpdateDueAfterSilenceSince(long silentSince) throws InterruptedException {
        assertNotNull(
                "silence is noticed", failures.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
        long passedMs = (loop.now() - silentSince) / MS;
        Thread.sleep(Math.max(0, UPDATE_DUE_MS + 1_000 - passedMs));
        loop.execute(() -> discovery.watch(true));
        assertTrue(
                "due six seconds after the last sign of life",
                nextKnownSince() <= silentSince + UPDATE_DUE_MS * MS);
    }
}
