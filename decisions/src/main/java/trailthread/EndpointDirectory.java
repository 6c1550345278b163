package trailthread;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;

/**
 * Handles list events: keeps the endpoint list and this node's subset of it, and starts list polls
 * and health checks when they are due.
 */
final class EndpointDirectory {
    private final EndpointList list;
    private final SubsetSelector subsetSelector;
    private final ListPollSchedule polls;
    private final HealthChecker healthChecker;
    private final SlowStart slowStart;
    private final ConcurrencyLimiter limiter;
    private final RateLimitedLog log;

    EndpointDirectory(
            ActiveSettings settings,
            WorkloadMeans means,
            EndpointSubset subset,
            LoadEstimator estimator,
            SlowStart slowStart,
            ConcurrencyLimiter limiter,
            RandomSource random,
            BalancerActions actions,
            RateLimitedLog log) {
        this.slowStart = slowStart;
        this.limiter = limiter;
        this.log = log;
        list = new EndpointList(slowStart);
        subsetSelector = new SubsetSelector(settings, list, subset, estimator, slowStart, random);
        polls = new ListPollSchedule(settings, actions, random);
        healthChecker = new HealthChecker(settings, means, list, slowStart, actions, random);
    }

    /** Records that a poll or a watch failed; the last list stays in use. */
    void listFailed(long now) {
        polls.pollOrWatchFailed(now);
        if (log.tryAcquire(RateLimitedLog.Kind.LIST_FAILED, now)) {
            log.write("list call failed: going on with the last list of " + list.size());
        }
    }

    /** Applies a complete list, or the entries that changed. */
    void update(ListKind kind, List<EndpointEntry> entries, long now) {
        slowStart.refill(now);
        list.update(kind, entries, now);
        selectSubset(now);
        polls.listReceived(kind);
        healthChecker.startIfConfigured(now);
        limiter.updateTotal(now);
    }

    /** Selects the subset again if that is due. */
    void refreshSubset(long now) {
        if (subsetSelector.isDue(now)) {
            selectSubset(now);
        }
    }

    private void selectSubset(long now) {
        subsetSelector.select(now);
        limiter.setInitialLimits();
    }

    void pollTimerDue(long serial, long now) {
        polls.timerDue(serial, now);
    }

    void healthCheckTimerDue(long now) {
        healthChecker.checkNext(now);
    }

    /** The listed endpoint of this name, or null. */
    Endpoint get(String name) {
        return list.get(name);
    }

    /** All listed endpoints. */
    List<Endpoint> all() {
        return list.all();
    }
}
