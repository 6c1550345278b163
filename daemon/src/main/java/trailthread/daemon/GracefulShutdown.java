package trailthread.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.daemon.listener.HttpListener;
import trailthread.engine.loop.EventLoop;

/**
 * Shuts a node down without losing requests: it serves on for a while, then closes its listening
 * socket and finishes the requests in flight. {@link ShutdownPlan} says when.
 */
public final class GracefulShutdown {
    /** Holds the requests in flight; they must be answered before the process is killed. */
    public interface AtWork {
        /**
         * Sets the times by which requests must be answered. Times are those of {@link
         * EventLoop#now}, in nanoseconds.
         *
         * @param newOnes for requests admitted from now on
         * @param all for all requests
         */
        void answerBy(long newOnes, long all);
    }

    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);

    /**
     * How long the process waits, past the longest deadline, for clients that read their last
     * response slowly, if it is not killed.
     */
    private static final long LAST_RESPONSES_NS = 1_700_000_000L;

    private static final long NS_PER_MS = 1_000_000L;

    private final EventLoop loop;
    private final HttpListener listener;
    private final Drain drain;
    private final AtWork requests;

    /** The longest deadline by the settings in force. */
    private volatile long deadlineInForceNs;

    /**
     * The longest deadline of all settings since the start: requests keep the deadline they were
     * admitted with.
     */
    private volatile long longestDeadlineNs;

    /** Makes the shutdown of a node that serves with the listener. */
    public GracefulShutdown(EventLoop loop, HttpListener listener, Drain drain, AtWork requests) {
        this.loop = loop;
        this.listener = listener;
        this.drain = drain;
        this.requests = requests;
    }

    /**
     * Sets the longest deadline of new requests from now on, in nanoseconds. Must not be called by
     * several threads at once.
     */
    public void waitsFor(long deadlineNs) {
        deadlineInForceNs = deadlineNs;
        longestDeadlineNs = Math.max(longestDeadlineNs, deadlineNs);
    }

    /**
     * Shuts the node down. Returns when all requests have been answered or have had their time.
     *
     * @param name the node's, for the log
     */
    public void await(String name) throws InterruptedException {
        // Taken here, as the loop may run the task late, and the time to a kill counts from now.
        long requestedAt = loop.now();
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> begin(name, requestedAt, done));
        boolean allEnded = done.await(longestDeadlineNs + LAST_RESPONSES_NS, TimeUnit.NANOSECONDS);
        LOG.info(
                "{} ends {} ms after SIGTERM, {}",
                name,
                millisecondsSince(requestedAt),
                allEnded ? "no connection left" : "connections left");
    }

    private void begin(String name, long requestedAt, CountDownLatch done) {
        drain.end();
        listener.setReady(false);
        long latenessNs = loop.latency().latenessNs(System.nanoTime());
        // The platform does not say whether a reload changes the deadlines it counts by, so new
        // requests are planned by the newest ones.
        ShutdownPlan plan = ShutdownPlan.of(deadlineInForceNs, latenessNs);
        ShutdownPlan planForAll = ShutdownPlan.of(longestDeadlineNs, latenessNs);
        requests.answerBy(requestedAt + plan.answeredNs(), requestedAt + planForAll.answeredNs());
        long elapsedNs = loop.now() - requestedAt;
        // If another process accepts for this node, clients reach it as soon as they reconnect.
        long closeWithResponsesNs =
                listener.stopAcceptingIfShared() ? 0 : plan.closeWithResponsesNs();
        loop.after(closeWithResponsesNs - elapsedNs, () -> listener.closeAfterResponse(true));
        loop.after(plan.closeNs() - elapsedNs, () -> close(requestedAt, plan.closeNs(), done));
        LOG.info("{} stops", name);
        LOG.info(
                "begun {} ms after SIGTERM; planned: responses end connections {} ms after it, the"
                        + " listening socket closes {}, requests are answered {}, earlier ones {};"
                        + " the loop is up to {} ms late",
                elapsedNs / NS_PER_MS,
                closeWithResponsesNs / NS_PER_MS,
                plan.closeNs() / NS_PER_MS,
                plan.answeredNs() / NS_PER_MS,
                planForAll.answeredNs() / NS_PER_MS,
                latenessNs / NS_PER_MS);
    }

    private void close(long requestedAt, long plannedNs, CountDownLatch done) {
        LOG.info(
                "the listening socket closes {} ms after SIGTERM, planned {}; connections {}",
                millisecondsSince(requestedAt),
                plannedNs / NS_PER_MS,
                listener.connections());
        listener.close(done::countDown);
    }

    private long millisecondsSince(long time) {
        return (loop.now() - time) / NS_PER_MS;
    }
}
