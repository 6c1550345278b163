package trailthread.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.daemon.acceptor.Acceptor;
import trailthread.engine.loop.Loop;

/** How a node ends when it is asked to: it serves on for a while, then finishes every call taken. */
public final class GracefulShutdown {
    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);
    /** New connections go on coming for a while after a stop is asked for, as the front hears of it late. */
    private static final long SERVES_ON_NS = 700_000_000L;

    /**
     * In the last part of that time, answers end their connections. No sooner: where nodes are restarted in
     * turn, the clients that leave meet one that has just started.
     */
    private static final long LAST_ANSWERS_NS = 150_000_000L;

    /** A client that reads its last answer slowly is waited for so long. */
    private static final long LAST_ANSWER_NS = 1_000_000_000L;

    private final Loop loop;
    private final Acceptor acceptor;
    private final Drain drain;
    /** Of all deadlines since the start: calls keep theirs when other settings hold. */
    private volatile long longestNs;

    /** Makes the end of a node that serves with the acceptor. */
    public GracefulShutdown(Loop loop, Acceptor acceptor, Drain drain) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.drain = drain;
    }

    /** Calls may have this deadline, in nanoseconds, from now on. To be called by one thread at a time. */
    public void waitsFor(long deadlineNs) {
        longestNs = Math.max(longestNs, deadlineNs);
    }

    /** Ends the node; returns when all calls have had their time. */
    public void await(String name) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            LOG.info("{} stops", name);
            drain.end();
            acceptor.setReady(false);
            // Where another process accepts for this one, clients that are sent away meet it at once.
            long servesOnNs = acceptor.leavesToOthers() ? LAST_ANSWERS_NS : SERVES_ON_NS;
            loop.after(servesOnNs - LAST_ANSWERS_NS, () -> acceptor.endWithAnswers(true));
            loop.after(SERVES_ON_NS, () -> acceptor.close(done::countDown));
        });
        done.await(SERVES_ON_NS + longestNs + LAST_ANSWER_NS, TimeUnit.NANOSECONDS);
    }
}
