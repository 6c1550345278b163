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
     * How long the process waits for its connections to be closed, if it is not killed: longer than
     * a response of 32 MiB takes at 64 kB a second. Ends streams of events, which have no end.
     */
    private static final long MAX_WAIT_NS = 600_000_000_000L;

    /** How often the log tells what the process still waits for. */
    private static final long WAIT_LOG_INTERVAL_NS = 10_000_000_000L;

    /** How often the node checks whether the plan must be brought forward. */
    private static final long PLAN_INTERVAL_NS = 25_000_000L;

    private static final long NS_PER_MS = 1_000_000L;

    private final EventLoop loop;
    private final HttpListener listener;
    private final Drain drain;
    private final OpenRequests requests;

    /** The longest deadline by the current settings. */
    private volatile long longestCurrentDeadlineNs;

    /**
     * The longest deadline of all settings since the start: requests keep the deadline they were
     * admitted with.
     */
    private volatile long longestDeadlineSinceStartNs;

    /** When SIGTERM arrived, by the loop's clock in nanoseconds. */
    private long sigtermAt;

    /** Counted down once all connections are closed. */
    private CountDownLatch allClosed;

    /** Whether other processes accept from the listening socket, too. */
    private boolean shared;

    /** The plan for requests admitted from now on. */
    private ShutdownPlan plan;

    /** The plan for all requests, including those admitted with longer deadlines. */
    private ShutdownPlan planForAll;

    /** The timers of the plan's steps; some may have run. */
    private final List<XnioExecutor.Key> stepTimers = new ArrayList<>();

    /** Whether the listener has begun to close. */
    private boolean listenerClosing;

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
        longestCurrentDeadlineNs = deadlineNs;
        longestDeadlineSinceStartNs = Math.max(longestDeadlineSinceStartNs, deadlineNs);
    }

    /**
     * Shuts the node down. Returns once all connections are closed, at the latest after ten
     * minutes. A connection stays open while a message on it makes progress: its own timeouts end
     * it if its client or server has stopped.
     *
     * @param name the node's name, for the log
     */
    public void run(String name) throws InterruptedException {
        // The time to a kill counts from now, not from when the loop runs the task, which may be
        // late.
        long sigtermAt = loop.now();
        CountDownLatch allClosed = new CountDownLatch(1);
        loop.execute(() -> begin(name, sigtermAt, allClosed));
        boolean closedInTime = await(allClosed, name);
        LOG.info(
                "{} exits {} ms after SIGTERM, {}",
                name,
                millisecondsSince(sigtermAt),
                closedInTime ? "all connections closed" : "connections still open");
    }

    /** Returns whether all connections are closed within {@link #MAX_WAIT_NS}. */
    private boolean await(CountDownLatch closed, String name) throws InterruptedException {
        for (long waitedNs = 0; waitedNs < MAX_WAIT_NS; waitedNs += WAIT_LOG_INTERVAL_NS) {
            if (closed.await(WAIT_LOG_INTERVAL_NS, TimeUnit.NANOSECONDS)) {
                return true;
            }
            loop.execute(() -> logOpenConnections(name));
        }
        return false;
    }

    private void logOpenConnections(String name) {
        LOG.info(
                "{} waits {} ms after SIGTERM for its last messages; connections {}",
                name,
                millisecondsSince(sigtermAt),
                listener.connectionsByState());
    }

    private void begin(String name, long sigtermAt, CountDownLatch allClosed) {
        this.sigtermAt = sigtermAt;
        this.allClosed = allClosed;
        long begunAfterNs = loop.now() - sigtermAt;
        drain.setShuttingDown();
        listener.setReady(false);
        // If another process accepts for this node, clients that reconnect reach that process.
        shared = listener.stopAcceptingIfShared();
        long latenessNs = latenessNs();
        // The platform does not say whether it counts the time to a kill by reloaded deadlines, so
        // the plan for new requests uses the current ones.
        applyPlans(
                ShutdownPlan.of(longestCurrentDeadlineNs, latenessNs),
                ShutdownPlan.of(longestDeadlineSinceStartNs, latenessNs));
        LOG.info("{} is shutting down, begun {} ms after SIGTERM", name, begunAfterNs / NS_PER_MS);
        logPlan(latenessNs);
        // Uses afterSockets only to load the code of that method now: a late timer that fails open
        // requests needs it, and loading it then would use up the margin before the kill.
        loop.afterSockets(this::replan);
    }

    private long latenessNs() {
        return loop.latency().latenessNs(System.nanoTime());
    }

    /**
     * Brings the plan forward if the lateness of the loop has grown, as other processes have become
     * busy, or if a reload has shortened deadlines.
     */
    private void replan() {
        long latenessNs = latenessNs();
        ShutdownPlan next = ShutdownPlan.of(longestCurrentDeadlineNs, latenessNs);
        if (next.isEarlierThan(plan)) {
            ShutdownPlan nextForAll = ShutdownPlan.of(longestDeadlineSinceStartNs, latenessNs);
            applyPlans(next, ShutdownPlan.earlier(planForAll, nextForAll));
            logPlan(latenessNs);
        }
        if (loop.now() < sigtermAt + planForAll.answeredNs()) {
            loop.schedule(PLAN_INTERVAL_NS, this::replan);
        }
    }

    private void applyPlans(ShutdownPlan newPlan, ShutdownPlan newPlanForAll) {
        plan = newPlan;
        planForAll = newPlanForAll;
        requests.setAnswerDeadlines(
                sigtermAt + plan.answeredNs(), sigtermAt + planForAll.answeredNs());
        cancelSteps();
        stepTimers.add(runAt(closeAfterResponsesNs(), () -> listener.setCloseAfterResponse(true)));
        if (!listenerClosing) {
            stepTimers.add(runAt(plan.closeListenerNs(), this::closeListener));
        }
    }

    private long closeAfterResponsesNs() {
        return shared ? 0 : plan.closeAfterResponsesNs();
    }

    private void logPlan(long latenessNs) {
        LOG.info(
                "shutdown plan, in ms after SIGTERM: responses close their connections from {},"
                        + " the listening socket closes at {}, new requests are answered by {},"
                        + " earlier ones by {}; the loop is up to {} ms late",
                closeAfterResponsesNs() / NS_PER_MS,
                plan.closeListenerNs() / NS_PER_MS,
                plan.answeredNs() / NS_PER_MS,
                planForAll.answeredNs() / NS_PER_MS,
                latenessNs / NS_PER_MS);
    }

    private void cancelSteps() {
        stepTimers.forEach(XnioExecutor.Key::remove);
        stepTimers.clear();
    }

    private XnioExecutor.Key runAt(long afterSigtermNs, Runnable step) {
        return loop.schedule(sigtermAt + afterSigtermNs - loop.now(), step);
    }

    private void closeListener() {
        listenerClosing = true;
        LOG.info(
                "the listening socket closes {} ms after SIGTERM, planned {}; connections {}",
                millisecondsSince(sigtermAt),
                plan.closeListenerNs() / NS_PER_MS,
                listener.connectionsByState());
        listener.close(allClosed::countDown);
    }

    private long millisecondsSince(long time) {
        return (loop.now() - time) / NS_PER_MS;
    }
}
