package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Test;
import trailthread.api.Outcome;
import trailthread.engine.discovery.DiscoveryClient;
import trailthread.engine.discovery.DiscoveryListener;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.endpoint.AttemptResult;
import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.endpoint.EndpointRequest;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.testkit.Message;
import trailthread.testkit.ScriptedServer;
import trailthread.testkit.TestCluster;

/**
 * A drain counts as announced once discovery has written it, even if the node has not read it yet
 * because the loop is late or the list is long.
 */
public class UnreadUpdatesTest {
    private static final long MS = 1_000_000L;
    private static final long TIMEOUT_NS = 30_000 * MS;

    /**
     * The grace period of a drain, which ends while the loop is blocked for {@link #BLOCKED_MS}.
     */
    private static final long GRACE_NS = 200 * MS;

    private static final long BLOCKED_MS = 400;
    private final EventLoop loop = new EventLoop("unread");
    private final ScriptedServer server = ScriptedServer.respondingWith("made");
    private final ScriptedServer discoveryServer =
            new ScriptedServer(
                    request -> {
                        TestCluster.beginWatch(request);
                        TestCluster.sendWatchLine(
                                request, TestCluster.endpointListJson(1, true, "active", server));
                    });
    private final BlockingQueue<DiscoveryUpdate> updates = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
    private final AtomicInteger failures = new AtomicInteger();
    private final EndpointPool endpoints =
            new EndpointPool(
                    loop,
                    TIMEOUT_NS,
                    TIMEOUT_NS,
                    GRACE_NS,
                    ConnectionLimit.of(16),
                    MS,
                    CpuAccount.NONE);
    private final DiscoveryClient discovery =
            new DiscoveryClient(
                    loop,
                    address(discoveryServer),
                    new DiscoveryListener() {
                        @Override
                        public void listUpdated(DiscoveryUpdate update, long knownSince) {
                            endpoints.update(update, knownSince);
                            updates.add(update);
                        }

                        @Override
                        public void listRequestFailed() {
                            failures.incrementAndGet();
                        }
                    });

    public UnreadUpdatesTest() throws Exception {
        endpoints.setUpdateReader(discovery::readArrivedUpdates);
        loop.execute(() -> discovery.watch(true));
        assertNotNull(updates.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @After
    public void end() throws Exception {
        discoveryServer.close();
        server.close();
        loop.xnioWorker().shutdownNow();
    }

    private static InetSocketAddress address(ScriptedServer server) {
        return EndpointPool.address(server.hostPort());
    }

    private void attempt() {
        endpoints.attempt(
                "w0",
                new EndpointRequest("1", "use", "POST", "/use", null, new byte[4], null),
                TIMEOUT_NS,
                results::add);
    }

    private Outcome awaitOutcome() throws InterruptedException {
        AttemptResult result = results.poll(ScriptedServer.TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull("the attempt ends", result);
        return result.outcome();
    }

    @Test
    public void aLateLoopReadsUpdatesBeforeItWritesARequest() throws Exception {
        Message watch = discoveryServer.takeRequest();
        loop.execute(this::attempt);
        assertEquals(
                "served before the drain, over a connection that is kept alive",
                Outcome.OK,
                awaitOutcome());
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        loop.execute(
                () -> {
                    attempt(); // runs after this task, and before the sockets are polled
                    blocked.countDown();
                    ScriptedServer.await(resume);
                });
        ScriptedServer.await(blocked);
        TestCluster.sendWatchLine(watch, TestCluster.endpointListJson(2, false, "leaving", server));
        Thread.sleep(BLOCKED_MS);
        resume.countDown();
        assertEquals(Outcome.NOT_SENT, awaitOutcome());
        assertEquals("the watch stays", 0, failures.get());
    }
}
