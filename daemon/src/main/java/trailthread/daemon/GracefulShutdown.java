package trailthread.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.daemon.listener.HttpListener;
import trailthread.engine.loop.EventLoop;

/**
 * How a node ends when it is asked to: it serves on for a while, then finishes every call taken.
 */
public final class GracefulShutdown {
    /** What holds the calls, where a process that takes too long is killed. */
    public interface AtWork {
        /**
         * Calls taken from now on have their answers by the first time, all by the second; by
         * {@link EventLoop#now}, in nanoseconds.
         */
        void answerBy(long newOnes, long all);
    }

    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);

    /**
     * A client that reads its last answer slowly, or a long one, is waited for so long, if nobody
     * kills the node.
     */
    private static final long LAST_ANSWER_NS = 1_700_000_000L;

    private final EventLoop loop;
    private final HttpListener acceptor;
    private final Drain drain;
    private final AtWork atWork;

    /** The longest deadline by the settings in force. */
    private volatile long inForceNs;

    /** The same of all settings since the start: calls keep theirs when other settings hold. */
    private volatile long longestNs;

    /** Makes the end of a node that serves with the acceptor. */
    public GracefulShutdown(EventLoop loop, HttpListener acceptor, Drain drain, AtWork atWork) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.drain = drain;
        this.atWork = atWork;
    }

    /**
     * Calls have deadlines up to this, in nanoseconds, from now on. To be called by one thread at a
     * time.
     */
    public void waitsFor(long deadlineNs) {
        inForceNs = deadlineNs;
        longestNs = Math.max(longestNs, deadlineNs);
    }

    /** Ends the node; returns when all calls have had their time. */
    public void await(String name) throws InterruptedException {
        long askedAt = loop.now(); // not when the loop comes to it, which may be late
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> begin(name, askedAt, done));
        done.await(longestNs + LAST_ANSWER_NS, TimeUnit.NANOSECONDS);
    }

    private void begin(String name, long askedAt, CountDownLatch done) {
        LOG.info("{} stops", name);
        drain.end();
        acceptor.setReady(false);
        long latenessNs = loop.turns().latenessNs(System.nanoTime());
        // Which deadlines the platform counts by after SIGHUP is not said: new calls come under the
        // newest.
        ShutdownPlan plan = ShutdownPlan.of(inForceNs, latenessNs);
        atWork.answerBy(
                askedAt + plan.answeredNs(),
                askedAt + ShutdownPlan.of(longestNs, latenessNs).answeredNs());
        long pastNs = loop.now() - askedAt;
        // Where another process accepts for this one, clients that are sent away meet it at once.
        long lastAnswersNs = acceptor.leavesToOthers() ? 0 : plan.lastAnswersNs();
        loop.after(lastAnswersNs - pastNs, () -> acceptor.endWithAnswers(true));
        loop.after(plan.closesNs() - pastNs, () -> acceptor.close(done::countDown));
    }
}
