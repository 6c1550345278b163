package trailthread;

import trailthread.api.BalancerActions;
import trailthread.api.LoadReportSource;
import trailthread.api.Settings;

/**
 * Checks the load of endpoints past slow start in turn, each once in {@link #PERIOD_OBJECTIVES}
 * mean latency objectives. Runs only where load reports come with health checks alone.
 */
final class HealthChecker {
    /** The time between two health checks of an endpoint, in mean latency objectives. */
    private static final double PERIOD_OBJECTIVES = 4;

    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final EndpointList list;
    private final SlowStart slowStart;
    private final BalancerActions actions;
    private final RandomSource random;
    private boolean running;
    private int next;

    HealthChecker(
            ActiveSettings settings,
            WorkloadMeans means,
            EndpointList list,
            SlowStart slowStart,
            BalancerActions actions,
            RandomSource random) {
        this.settings = settings;
        this.means = means;
        this.list = list;
        this.slowStart = slowStart;
        this.actions = actions;
        this.random = random;
    }

    /** Starts the checks if the settings ask for them and they are not running. */
    void startIfConfigured(long now) {
        Settings s = settings.get();
        if (!running && s.mayCheckHealth && s.reports == LoadReportSource.HEALTH_CHECKS) {
            running = true;
            checkNext(now);
        }
    }

    /** Checks the next endpoint, and sets the timer for the one after it. */
    void checkNext(long now) {
        int endpoints = list.size();
        if (endpoints > 0) {
            Endpoint endpoint = list.all().get(next % endpoints);
            next++;
            if (endpoint.isReady() && slowStart.isWarm(endpoint, now)) {
                actions.checkHealth(endpoint.name);
            }
        }
        double periodNs = PERIOD_OBJECTIVES * means.objectiveNs() / Math.max(1, endpoints);
        double delayNs = Math.max(settings.get().tickNs, periodNs);
        actions.setTimer(random.jittered(delayNs), TimerKind.HEALTH_CHECK.token(0));
    }
}
