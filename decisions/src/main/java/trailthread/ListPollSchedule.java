package trailthread;

import trailthread.api.BalancerActions;
import trailthread.api.ListKind;
import trailthread.api.Settings;

/**
 * When this node polls discovery for the endpoint list.
 *
 * <p>Exponential backoff with jitter. Nodes that poll in step would keep the list from most of
 * them, as polls that wait in vain cost discovery, too. So the polls of all nodes are spread: the
 * more nodes, the later each polls again.
 */
final class ListPollSchedule {
    /** Polls in a poll interval that all nodes together begin with; halved for each in vain. */
    private static final double INITIAL_POLLS_PER_INTERVAL = 400;

    /** The longest backoff, in poll intervals. */
    private static final double MAX_BACKOFF_INTERVALS = 2;

    private static final int MAX_DOUBLINGS = 16;

    /** The least time before a poll that failed at once is repeated, in nanoseconds. */
    private static final double MIN_RETRY_NS = 1e9;

    /** The longest such time; with jitter within {@link ListLease#NOTIFICATION_DUE_NS}. */
    private static final double MAX_RETRY_NS = 5e9;

    /** First polls, of a start or after a broken watch, are spread over this, in nanoseconds. */
    private static final double MAX_FIRST_POLL_NS = 4.4e9;

    /** A poll that brings nothing is repeated after this share of the poll interval. */
    private static final double REPEAT_SHARE = 0.25;

    /** Retries and first polls are spread over this multiple of what all nodes' polls take. */
    private static final double SPREAD_MULTIPLE = 4;

    private final ActiveSettings settings;
    private final BalancerActions actions;
    private final RandomSource random;

    private boolean watching;
    private int failedQueuedPolls;
    private long serial;

    /** When the poll under way began; {@link Long#MAX_VALUE}: none is. */
    private long pollSentAt = Long.MAX_VALUE;

    ListPollSchedule(ActiveSettings settings, BalancerActions actions, RandomSource random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
    }

    /** The poll or the watch under way has failed; sets the next poll. */
    void failed(long now) {
        double waitedNs = pollSentAt == Long.MAX_VALUE ? 0 : now - pollSentAt;
        pollSentAt = Long.MAX_VALUE;
        boolean wasQueued = waitedNs > ListLease.QUEUED_POLL_NS;
        if (wasQueued && failedQueuedPolls > 0) {
            schedulePoll((0.5 + random.uniform()) * backoffNs());
        } else {
            // At a fixed pace from poll to poll, the first in vain too: whenever discovery comes
            // back, the polls of all nodes come evenly spread.
            double spread = watching ? random.uniform() : 1;
            schedulePoll(Math.max(0, spread * retryNs() - waitedNs));
        }
        failedQueuedPolls += wasQueued ? 1 : 0;
        watching = false;
    }

    private double backoffNs() {
        double maxNs = MAX_BACKOFF_INTERVALS * settings.get().pollIntervalNs;
        return Math.min(maxNs, roundNs() * (1 << Math.min(failedQueuedPolls, MAX_DOUBLINGS)));
    }

    private double retryNs() {
        double maxNs = watching ? MAX_FIRST_POLL_NS : MAX_RETRY_NS;
        return Math.min(Math.max(SPREAD_MULTIPLE * roundNs(), MIN_RETRY_NS), maxNs);
    }

    /** The time in which all nodes poll once. */
    private double roundNs() {
        Settings s = settings.get();
        double intervalNs = s.pollIntervalNs;
        return s.nodes / INITIAL_POLLS_PER_INTERVAL * intervalNs;
    }

    /** A list has come; sets the first poll where it must be asked for and none is watched. */
    void received(ListKind kind) {
        pollSentAt = Long.MAX_VALUE;
        watching = kind != ListKind.CACHED;
        failedQueuedPolls = watching ? 0 : failedQueuedPolls;
        Settings s = settings.get();
        if (s.listIsPolled && !watching) {
            // A node alone need not wait for others.
            double othersNs = SPREAD_MULTIPLE * (roundNs() - roundNs() / s.nodes);
            double maxNs = Math.min(othersNs, MAX_FIRST_POLL_NS);
            schedulePoll(random.uniform() * maxNs / (1 + RandomSource.JITTER));
        }
    }

    /** A poll's timer is due; an earlier schedule's timer, or one under a watch, does nothing. */
    void timerDue(long timerSerial, long now) {
        if (timerSerial != serial || watching) {
            return;
        }
        pollSentAt = Math.min(pollSentAt, now);
        actions.watch(true);
        schedulePoll(REPEAT_SHARE * settings.get().pollIntervalNs);
    }

    private void schedulePoll(double delayNs) {
        serial++;
        actions.timer(random.jittered(delayNs), TimerKind.LIST_POLL.token(serial));
    }
}
