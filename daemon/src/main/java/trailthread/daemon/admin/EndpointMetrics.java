package trailthread.daemon.admin;

import java.util.Comparator;
import trailthread.api.EndpointState;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** What this node has seen of one endpoint. */
final class EndpointMetrics {
    /** Those that fail less first, then those with less work, then the faster ones. */
    static final Comparator<EndpointMetrics> BEST_FIRST =
            Comparator.comparingDouble((EndpointMetrics endpoint) -> endpoint.failureRatio)
                    .thenComparingDouble(endpoint -> endpoint.inFlight + orZero(endpoint.queue))
                    .thenComparingDouble(endpoint -> orZero(endpoint.latencySeconds));

    /** Weight of one attempt in the smoothed values, which so remember about ten attempts. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    private static final double NS_PER_SECOND = 1e9;

    final String id;
    EndpointState state;

    /** Attempts of this node's that have not ended. */
    long inFlight;

    /** Attempts that ended, without those that say nothing of the endpoint. */
    long attempts;

    long failures;

    /** Smoothed share of attempts that failed. */
    double failureRatio;

    /** Smoothed latency of the attempts served; NaN if there were none. */
    double latencySeconds = Double.NaN;

    /** The length of the queue that the endpoint reported last; NaN if it reported none. */
    double queue = Double.NaN;

    EndpointMetrics(String id, EndpointState state) {
        this.id = id;
        this.state = state;
    }

    private EndpointMetrics(EndpointMetrics other) {
        id = other.id;
        state = other.state;
        inFlight = other.inFlight;
        attempts = other.attempts;
        failures = other.failures;
        failureRatio = other.failureRatio;
        latencySeconds = other.latencySeconds;
        queue = other.queue;
    }

    EndpointMetrics copy() {
        return new EndpointMetrics(this);
    }

    /**
     * An attempt has ended.
     *
     * @param latencyNs -1 if it is not known
     * @param load what the endpoint reported with it, or null
     */
    void attemptEnded(Outcome outcome, long latencyNs, LoadReport load) {
        // It may have begun before the endpoint left the list and came back.
        inFlight = Math.max(0, inFlight - 1);
        loadReported(load);
        boolean saysNothing = outcome == Outcome.NOT_SENT || outcome == Outcome.CANCELLED;
        if (saysNothing) {
            return;
        }
        boolean failed = outcome != Outcome.OK && outcome != Outcome.REJECTED;
        attempts++;
        failures += failed ? 1 : 0;
        failureRatio = smoothed(failureRatio, failed ? 1 : 0);
        if (outcome == Outcome.OK && latencyNs >= 0) {
            double seconds = latencyNs / NS_PER_SECOND;
            latencySeconds =
                    Double.isNaN(latencySeconds) ? seconds : smoothed(latencySeconds, seconds);
        }
    }

    private static double smoothed(double average, double value) {
        return average + SMOOTHING_WEIGHT * (value - average);
    }

    /** The endpoint has reported its load; null if it has not. */
    void loadReported(LoadReport load) {
        if (load != null && !Double.isNaN(load.queue())) {
            queue = load.queue();
        }
    }

    /** The value, or 0 if it is not known. */
    static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }
}
