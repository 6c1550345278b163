package trailthread;

import trailthread.api.BalancerActions;
import trailthread.api.ListKind;
import trailthread.api.Settings;

/**
 * Schedules this node's polls of discovery for the endpoint list.
 *
 * <p>Exponential backoff with jitter. If all nodes polled at the same time, most polls would time
 * out in the queue of discovery, which spends time on these polls, too. So the polls of all nodes
 * are spread over a time in proportion to the number of nodes.
 */
final class ListPollSchedule {
    /**
     * Polls per poll interval that all nodes together start with; halved for each queued poll that
     * fails.
     */
    private static final double INITIAL_POLLS_PER_INTERVAL = 400;

    /** The longest backoff, in poll intervals. */
    private static final double MAX_BACKOFF_INTERVALS = 2;

    private static final int MAX_DOUBLINGS = 16;

    /** The least time before a poll that failed at once is repeated, in nanoseconds. */
    private static final double MIN_RETRY_NS = 1e9;

    /**
     * The longest such time, in nanoseconds; with jitter, it stays below {@link
     * ListLease#NOTIFICATION_DUE_NS}.
     */
    private static final double MAX_RETRY_NS = 5e9;

    /**
     * First polls after a start or a broken watch are spread over at most this time, in
     * nanoseconds.
     */
    private static final double MAX_FIRST_POLL_NS = 4.4e9;

    /** A poll that fails later than this after it was sent counts as queued, in nanoseconds. */
    private static final double QUEUED_POLL_NS = 1.2e9;

    /** A poll that has no result yet is repeated after this share of the poll interval. */
    private static final double REPEAT_SHARE = 0.25;

    /** Retries and first polls are spread over this multiple of {@link #pollRoundNs}. */
    private static final double SPREAD_MULTIPLE = 4;

    private final ActiveSettings settings;
    private final BalancerActions actions;
    private final RandomSource random;

    private boolean watching;
    private int failedQueuedPolls;
    private long serial;

    /** When the poll in progress was sent; {@link Long#MAX_VALUE}: there is none. */
    private long pollSentAt = Long.MAX_VALUE;

    ListPollSchedule(ActiveSettings settings, BalancerActions actions, RandomSource random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
    }

    /** Records that the poll or the watch has failed, and schedules the next poll. */
    void pollOrWatchFailed(long now) {
        double waitedNs = pollSentAt == Long.MAX_VALUE ? 0 : now - pollSentAt;
        pollSentAt = Long.MAX_VALUE;
        boolean wasQueued = waitedNs > QUEUED_POLL_NS;
        if (wasQueued && failedQueuedPolls > 0) {
            schedulePoll((0.5 + random.uniform()) * backoffNs());
        } else {
            // Polls at fixed intervals, also after the first queued poll that fails: whenever
            // discovery comes back, the polls of all nodes arrive evenly spread.
            double spread = watching ? random.uniform() : 1;
            schedulePoll(Math.max(0, spread * retryNs() - waitedNs));
        }
        failedQueuedPolls += wasQueued ? 1 : 0;
        watching = false;
    }

    private double backoffNs() {
        double maxNs = MAX_BACKOFF_INTERVALS * settings.get().pollIntervalNs;
        return Math.min(maxNs, pollRoundNs() * (1 << Math.min(failedQueuedPolls, MAX_DOUBLINGS)));
    }

    private double retryNs() {
        double maxNs = watching ? MAX_FIRST_POLL_NS : MAX_RETRY_NS;
        return Math.min(Math.max(SPREAD_MULTIPLE * pollRoundNs(), MIN_RETRY_NS), maxNs);
    }

    /** The time in which all nodes poll once, at the initial rate. */
    private double pollRoundNs() {
        Settings s = settings.get();
        double intervalNs = s.pollIntervalNs;
        return s.nodes / INITIAL_POLLS_PER_INTERVAL * intervalNs;
    }

    /**
     * Records that a list was received, and schedules the first poll if the list must be polled and
     * there is no watch.
     */
    void listReceived(ListKind kind) {
        pollSentAt = Long.MAX_VALUE;
        watching = kind != ListKind.CACHED;
        failedQueuedPolls = watching ? 0 : failedQueuedPolls;
        Settings s = settings.get();
        if (s.listIsPolled && !watching) {
            // A single node need not wait for others.
            double othersNs = SPREAD_MULTIPLE * (pollRoundNs() - pollRoundNs() / s.nodes);
            double maxNs = Math.min(othersNs, MAX_FIRST_POLL_NS);
            schedulePoll(random.uniform() * maxNs / (1 + RandomSource.JITTER));
        }
    }

    /**
     * Polls when its timer is due. Does nothing if a later poll has been scheduled since, or there
     * is a watch.
     */
    void timerDue(long timerSerial, long now) {
        if (timerSerial != serial || watching) {
            return;
        }
        pollSentAt = Math.min(pollSentAt, now);
        actions.watchList(true);
        schedulePoll(REPEAT_SHARE * settings.get().pollIntervalNs);
    }

    private void schedulePoll(double delayNs) {
        serial++;
        actions.setTimer(random.jittered(delayNs), TimerKind.LIST_POLL.token(serial));
    }
}
