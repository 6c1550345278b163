package trailthread.daemon.admin;

import java.util.Comparator;
import trailthread.api.EndpointState;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** What this node has seen of one endpoint. */
final class EndpointMetrics {
    /** The best first: those that fail less, then those with less to do, then the faster. */
    static final Comparator<EndpointMetrics> BEST_FIRST =
            Comparator.comparingDouble((EndpointMetrics w) -> w.failureRatio)
                    .thenComparingDouble(w -> w.inFlight + orZero(w.queue))
                    .thenComparingDouble(w -> orZero(w.latencyS));

    /** Weight of one attempt in the smoothed figures: some ten attempts of memory. */
    private static final double WEIGHT = 0.1;

    final String id;
    EndpointState state;
    long inFlight;
    long attempts;
    long failures;

    /** Smoothed share of attempts that failed. */
    double failureRatio;

    /** Smoothed time of those served; NaN: there were none. */
    double latencyS = Double.NaN;

    /** The queue that the endpoint told of last; NaN: it told of none. */
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
        latencyS = other.latencyS;
        queue = other.queue;
    }

    EndpointMetrics copy() {
        return new EndpointMetrics(this);
    }

    void ended(Outcome outcome, long latencyNs, LoadReport load) {
        inFlight =
                Math.max(
                        0,
                        inFlight - 1); // one begun before the endpoint left the list and came back
        told(load);
        if (outcome == Outcome.NOT_SENT || outcome == Outcome.CANCELLED) {
            return; // says nothing of the endpoint
        }
        boolean failed = outcome != Outcome.OK && outcome != Outcome.REJECTED;
        attempts++;
        failures += failed ? 1 : 0;
        failureRatio += WEIGHT * ((failed ? 1 : 0) - failureRatio);
        if (outcome == Outcome.OK && latencyNs >= 0) {
            double seconds = latencyNs / 1e9;
            latencyS = Double.isNaN(latencyS) ? seconds : latencyS + WEIGHT * (seconds - latencyS);
        }
    }

    void told(LoadReport load) {
        if (load != null && !Double.isNaN(load.queue())) {
            queue = load.queue();
        }
    }

    static double orZero(double figure) {
        return Double.isNaN(figure) ? 0 : figure;
    }
}
