package trailthread.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import trailthread.daemon.listener.HttpListener;
import trailthread.engine.loop.EventLoop;

/**
 * Shuts a node down without losing requests: it keeps serving for a while, then closes its
 * listening socket and finishes the requests in flight. {@link ShutdownPlan} sets the times.
 */
public final class GracefulShutdown {
    /** The requests in flight, which must be answered before the process is killed. */
    public interface OpenRequests {
        /**
         * Sets the times by which requests must be answered; later calls bring them forward. Times
         * are those of {@link EventLoop#now}, in nanoseconds.
         *
         * @param newRequestsBy the latest deadline of requests that are admitted from now on
         * @param allRequestsBy when every request that is still open is answered with a failure
         */
        void setAnswerDeadlines(long newRequestsBy, long allRequestsBy);
    }

    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);

    /**
     * How long the process waits, past the longest deadline, for clients that read their last
     * response slowly, if it is not killed.
     */
    private static final long LAST_RESPONSES_NS = 1_700_000_000L;

    /** How often the node checks whether the plan must be brought forward. */
    private static final long PLAN_INTERVAL_NS = 25_000_000L;

    private static final long NS_PER_MS = 1_000_000L;

    private final EventLoop loop;
    private final HttpListener listener;
    private final Drain drain;
    private final OpenRequests requests;

    /** The longest deadline by the current settings. */
    private volatile long currentDeadlineNs;

    /**
     * The longest deadline of all settings since the start: requests keep the deadline they were
     * admitted with.
     */
    private volatile long longestDeadlineNs;

    /** When SIGTERM arrived, by the loop's clock in nanoseconds. */
    private long requestedAt;

    /** Counted down once all connections are closed. */
    private CountDownLatch done;

    /** Whether other processes accept from the listening socket, too. */
    private boolean shared;

    /** The plan for requests admitted from now on. */
    private ShutdownPlan plan;

    /** The plan for all requests, including those admitted with longer deadlines. */
    private ShutdownPlan planForAll;

    /** The timers of the plan's steps; some may have run. */
    private final List<XnioExecutor.Key> stepTimers = new ArrayList<>();

    /** Whether the listening socket is closing. */
    private boolean closing;

    /** Creates the shutdown of the node that serves with this listener. */
    public GracefulShutdown(
            EventLoop loop, HttpListener listener, Drain drain, OpenRequests requests) {
        this.loop = loop;
        this.listener = listener;
        this.drain = drain;
        this.requests = requests;
    }

    /**
     * Sets the longest deadline of new requests from now on, in nanoseconds. Must not be called by
     * several threads at once.
     */
    public void setLongestDeadline(long deadlineNs) {
        currentDeadlineNs = deadlineNs;
        longestDeadlineNs = Math.max(longestDeadlineNs, deadlineNs);
    }

    /**
     * Shuts the node down. Returns once all requests are answered or out of time.
     *
     * @param name the node's, for the log
     */
    public void await(String name) throws InterruptedException {
        // Read before the task runs, which may be late: the time to a kill counts from now.
        long requestedAt = loop.now();
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> begin(name, requestedAt, done));
        boolean allEnded = done.await(longestDeadlineNs + LAST_RESPONSES_NS, TimeUnit.NANOSECONDS);
        LOG.info(
                "{} exits {} ms after SIGTERM, {}",
                name,
                millisecondsSince(requestedAt),
                allEnded ? "all connections closed" : "connections still open");
    }

    private void begin(String name, long requestedAt, CountDownLatch done) {
        this.requestedAt = requestedAt;
        this.done = done;
        long beginsAfterNs = loop.now() - requestedAt;
        drain.setShuttingDown();
        listener.setReady(false);
        // If another process accepts for this node, clients reach it as soon as they reconnect.
        shared = listener.stopAcceptingIfShared();
        long latenessNs = latenessNs();
        // The platform does not say whether a reload changes the deadlines it counts by, so new
        // requests are planned by the newest ones.
        applyPlans(
                ShutdownPlan.of(currentDeadlineNs, latenessNs),
                ShutdownPlan.of(longestDeadlineNs, latenessNs));
        LOG.info("{} is shutting down, begun {} ms after SIGTERM", name, beginsAfterNs / NS_PER_MS);
        logPlan(latenessNs);
        // Uses afterSockets only to load its code now: a late timer that fails open requests needs
        // it, and loading it then would use up the margin before the kill.
        loop.afterSockets(this::replan);
    }

    private long latenessNs() {
        return loop.latency().latenessNs(System.nanoTime());
    }

    /**
     * Brings the plan forward if the loop has become later, as other processes have become busy, or
     * if a reload has shortened deadlines.
     */
    private void replan() {
        long latenessNs = latenessNs();
        ShutdownPlan next = ShutdownPlan.of(currentDeadlineNs, latenessNs);
        if (next.isEarlierThan(plan)) {
            ShutdownPlan nextForAll = ShutdownPlan.of(longestDeadlineNs, latenessNs);
            applyPlans(next, ShutdownPlan.earlier(planForAll, nextForAll));
            logPlan(latenessNs);
        }
        if (loop.now() < requestedAt + planForAll.answeredNs()) {
            loop.schedule(PLAN_INTERVAL_NS, this::replan);
        }
    }

    private void applyPlans(ShutdownPlan newPlan, ShutdownPlan newPlanForAll) {
        plan = newPlan;
        planForAll = newPlanForAll;
        requests.setAnswerDeadlines(
                requestedAt + plan.answeredNs(), requestedAt + planForAll.answeredNs());
        cancelSteps();
        stepTimers.add(runAt(closeWithResponsesNs(), () -> listener.closeAfterResponse(true)));
        if (!closing) {
            stepTimers.add(runAt(plan.closeNs(), this::close));
        }
    }

    private long closeWithResponsesNs() {
        return shared ? 0 : plan.closeWithResponsesNs();
    }

    private void logPlan(long latenessNs) {
        LOG.info(
                "shutdown plan, in ms after SIGTERM: responses close their connections from {},"
                        + " the listening socket closes at {}, new requests are answered by {},"
                        + " earlier ones by {}; the loop is up to {} ms late",
                closeWithResponsesNs() / NS_PER_MS,
                plan.closeNs() / NS_PER_MS,
                plan.answeredNs() / NS_PER_MS,
                planForAll.answeredNs() / NS_PER_MS,
                latenessNs / NS_PER_MS);
    }

    private void cancelSteps() {
        stepTimers.forEach(XnioExecutor.Key::remove);
        stepTimers.clear();
    }

    private XnioExecutor.Key runAt(long afterRequestNs, Runnable step) {
        return loop.schedule(requestedAt + afterRequestNs - loop.now(), step);
    }

    private void close() {
        closing = true;
        LOG.info(
                "the listening socket closes {} ms after SIGTERM, planned {}; connections {}",
                millisecondsSince(requestedAt),
                plan.closeNs() / NS_PER_MS,
                listener.connectionsByState());
        listener.close(done::countDown);
    }

    private long millisecondsSince(long time) {
        return (loop.now() - time) / NS_PER_MS;
    }
}
