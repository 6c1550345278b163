package trailthread.daemon.admin;

import java.util.Comparator;
import trailthread.api.EndpointState;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** Metrics of one endpoint, from this node's attempts and health checks. */
final class EndpointMetrics {
    /** Orders endpoints by failure ratio, then by load, then by latency, the lowest first. */
    static final Comparator<EndpointMetrics> BEST_FIRST =
            Comparator.comparingDouble((EndpointMetrics endpoint) -> endpoint.failureRatio)
                    .thenComparingDouble(endpoint -> endpoint.inFlight + orZero(endpoint.queue))
                    .thenComparingDouble(endpoint -> orZero(endpoint.latencySeconds));

    /** Weight of one attempt in the smoothed values, which so average about ten attempts. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    private static final double NS_PER_SECOND = 1e9;

    final String id;
    EndpointState state;

    /** This node's attempts that have not ended. */
    long inFlight;

    /** Attempts that ended, without inconclusive ones: not sent, or cancelled. */
    long attempts;

    long failures;

    /** How often the endpoint sent bytes that are no part of the response to any request. */
    long surplus;

    /** Smoothed share of failures among {@link #attempts}. */
    double failureRatio;

    /** Smoothed latency of successful attempts; NaN if there were none. */
    double latencySeconds = Double.NaN;

    /** The queue length that the endpoint last reported; NaN if it reported none. */
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
        surplus = other.surplus;
        failureRatio = other.failureRatio;
        latencySeconds = other.latencySeconds;
        queue = other.queue;
    }

    EndpointMetrics copy() {
        return new EndpointMetrics(this);
    }

    /**
     * Records the end of an attempt.
     *
     * @param latencyNs -1 if unknown
     * @param load the load report that came with the response, or null
     */
    void recordAttempt(Outcome outcome, long latencyNs, LoadReport load) {
        // The attempt may have started before the endpoint was removed from the list and added
        // again with new metrics.
        inFlight = Math.max(0, inFlight - 1);
        recordLoad(load);
        boolean isInconclusive = outcome == Outcome.NOT_SENT || outcome == Outcome.CANCELLED;
        if (isInconclusive) {
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

    /** Records a load report; null if the endpoint sent none. */
    void recordLoad(LoadReport load) {
        if (load != null && !Double.isNaN(load.queue())) {
            queue = load.queue();
        }
    }

    /** Returns the value, or 0 if it is unknown (NaN). */
    static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }
}
