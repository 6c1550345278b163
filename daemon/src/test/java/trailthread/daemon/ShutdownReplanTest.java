package trailthread.daemon;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import trailthread.daemon.listener.HttpListener;
import trailthread.daemon.listener.PlatformFrontend;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;

/**
 * The shutdown plan is brought forward if the loop becomes late, or deadlines become shorter, while
 * the shutdown is in progress.
 */
public class ShutdownReplanTest {
    private static final long DEADLINE_NS = 30_000_000_000L;
    private static final long SHORT_DEADLINE_NS = 300_000_000L;
    private static final long MAX_WAIT_S = 30;
    private static final int MAX_CONNECTIONS = 8;

    private static final long PUNCTUAL_NS = 20_000_000L;

    /** More than the lateness of an idle loop, and enough for the plan to be replaced. */
    private static final long BUSY_MS = 100;

    private final EventLoop loop;

    /** The answer deadlines of new requests, in the order in which the shutdown sets them. */
    private final BlockingQueue<Long> answerDeadlines = new LinkedBlockingQueue<>();

    private GracefulShutdown shutdown;

    public ShutdownReplanTest() throws IOException {
        loop = new EventLoop("replan");
    }

    @Before
    public void begin() throws Exception {
        HttpListener listener =
                new HttpListener(
                        loop,
                        MAX_CONNECTIONS,
                        MAX_CONNECTIONS,
                        new PlatformFrontend(List.of(), null),
                        MetricsRecorder.OFF);
        listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        shutdown =
                new GracefulShutdown(
                        loop,
                        listener,
                        new Drain(loop, listener),
                        (newRequestsBy, allRequestsBy) -> answerDeadlines.add(newRequestsBy));
        shutdown.setLongestDeadline(DEADLINE_NS);
        awaitPunctualLoop();
        Thread hook = new Thread(this::shutDown);
        hook.setDaemon(true);
        hook.start();
    }

    /** The plan made for a loop that is already late could not be brought forward. */
    private void awaitPunctualLoop() throws InterruptedException {
        while (loop.latency().latenessNs(System.nanoTime()) > PUNCTUAL_NS) {
            Thread.sleep(1);
        }
    }

    private void shutDown() {
        try {
            shutdown.run("n0");
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @After
    public void end() {
        loop.xnioWorker().shutdownNow();
    }

    private long nextAnswerDeadline() throws InterruptedException {
        Long next = answerDeadlines.poll(MAX_WAIT_S, TimeUnit.SECONDS);
        assertNotNull("the shutdown sets an answer deadline", next);
        return next;
    }

    private static void keepBusy() {
        try {
            Thread.sleep(BUSY_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Guards against requests that are unanswered at the kill, as the node became busy after
     * SIGTERM.
     */
    @Test
    public void aLoopThatBecomesLateBringsThePlanForward() throws Exception {
        long planned = nextAnswerDeadline();
        loop.execute(ShutdownReplanTest::keepBusy);
        assertTrue("the plan is brought forward", nextAnswerDeadline() < planned);
    }

    /**
     * Guards against requests that are unanswered at the kill, as a reload shortened deadlines just
     * after SIGTERM.
     */
    @Test
    public void aReloadThatShortensDeadlinesBringsThePlanForward() throws Exception {
        long planned = nextAnswerDeadline();
        shutdown.setLongestDeadline(SHORT_DEADLINE_NS);
        assertTrue("the plan is brought forward", nextAnswerDeadline() < planned);
    }
}
