package trailthread;

import trailthread.api.Settings;
import trailthread.api.WeightMeaning;

/**
 * Predicts how long one more request would take at an endpoint, in nanoseconds.
 *
 * <p>Prediction after the SNS paper (Fox et al., SOSP 1997, 3.1.2): {@code (1 + requests there) *
 * pace}, where the requests there are the last report corrected by own sends since, and the pace is
 * the time per place in its queue. What one node learns alone of an endpoint comes too late, so an
 * endpoint's latency is a weighted mean, in logarithms, of three sources: its own responses of
 * late, the service time that it reports (which rests on responses to all nodes), and all
 * endpoints' responses, shifted by how much slower this one has been.
 */
final class LoadEstimator {
    /** Weight of a fresh report of service time, in responses of the endpoint's own. */
    private static final double REPORT_RESPONSES = 5;

    /** Memory of the idle latency, in longest deadlines: minutes, so that no overload moves it. */
    private static final double IDLE_DRIFT_DEADLINES = 300;

    /** A gap between responses of this many usual gaps shows a slow or frozen endpoint. */
    private static final double SILENCE_DIVISOR = 3;

    /** What one point of cross-zone price adds to a remote endpoint's predicted time, a factor. */
    private static final double CROSS_ZONE_FACTOR = 20;

    private final ActiveSettings settings;
    private final WorkloadMeans means;

    /** The responses of all endpoints together. */
    private final LatencyStats all = new LatencyStats();

    /** What responses take beyond the service time that endpoints report, in nanoseconds. */
    private double queueingDelayNs;

    LoadEstimator(ActiveSettings settings, WorkloadMeans means) {
        this.settings = settings;
        this.means = means;
    }

    /** The responses of all endpoints together. */
    LatencyStats allEndpoints() {
        return all;
    }

    /**
     * Records a response that came with a report of service time, if it did.
     *
     * @param latencyNs scaled to a request of mean work
     */
    void recordQueueingDelay(Endpoint endpoint, double latencyNs, long now) {
        if (endpoint.load.serviceTimeAt() == now) {
            double weight = queueingDelayNs == 0 ? 1 : LatencyStats.LATENCY_WEIGHT;
            double delayNs = latencyNs - endpoint.load.serviceTimeNs();
            queueingDelayNs += weight * (delayNs - queueingDelayNs);
        }
    }

    /**
     * Records how long an attempt took, or has taken at least.
     *
     * @param latencyNs scaled to a request of mean work
     */
    void record(Attempt attempt, double latencyNs, long now) {
        double objectiveNs = means.objectiveNs();
        double driftNs = IDLE_DRIFT_DEADLINES * settings.longestDeadlineNs();
        int inFlight = attempt.inFlightAtSend;
        attempt.endpoint.latency.record(latencyNs, inFlight, objectiveNs, driftNs, now);
        all.record(latencyNs, inFlight, objectiveNs, driftNs, now);
    }

    /** The endpoint's present latency in nanoseconds; 0: nothing is known of any. */
    double latencyNs(Endpoint endpoint, long now) {
        LatencyStats stats = endpoint.latency;
        if (all.latencyNs() == 0) {
            return stats.latencyNs();
        }
        long reportedAt = endpoint.load.serviceTimeAt();
        if (stats.responses() == 0 && reportedAt == 0) {
            return all.latencyNs();
        }
        double prior = LatencyStats.PRIOR_RESPONSES;
        double own = stats.recentResponses(now, means.objectiveNs());
        double sum =
                own * stats.logLatency() + prior * (all.logLatency() + stats.relativeSlowness(all));
        double count = own + prior;
        if (reportedAt > 0) {
            double decayNs = LatencyStats.DECAY_OBJECTIVES * means.objectiveNs();
            double age = (now - reportedAt) / decayNs;
            double weight = REPORT_RESPONSES * Math.exp(-age) * prior / count;
            double reportedNs = Math.max(1, queueingDelayNs + endpoint.load.serviceTimeNs());
            sum += weight * Math.log(reportedNs);
            count += weight;
        }
        return Math.exp(sum / count);
    }

    /** The latency when idle, in nanoseconds: its own if known, else that of all; 0: unknown. */
    double idleNs(Endpoint endpoint) {
        double own = endpoint.latency.idleNs();
        return own > 0 ? own : all.idleNs();
    }

    /** The time per place in the endpoint's queue, longer when responses are overdue. */
    double timePerRequestNs(Endpoint endpoint, long now) {
        LatencyStats stats = endpoint.latency;
        if (stats.latencyNs() == 0) {
            return Math.max(1, means.latencyNs());
        }
        double latencyNs = latencyNs(endpoint, now);
        double silentNs = now - endpoint.inFlight.silentSince();
        if (endpoint.inFlight.isAwaitingResponse()) {
            return Math.max(latencyNs / (1 + stats.meanInFlight()), silentNs / SILENCE_DIVISOR);
        }
        return decayToIdle(endpoint, latencyNs, silentNs) / (1 + stats.meanInFlight());
    }

    /**
     * Forgets in time that an endpoint without attempts was slow: it would be drawn no more, and so
     * would look slow for ever.
     */
    private double decayToIdle(Endpoint endpoint, double latencyNs, double silentNs) {
        double idleNs = idleNs(endpoint);
        long longestDeadlineNs = settings.longestDeadlineNs();
        boolean wasSlow = latencyNs > idleNs && idleNs > 0;
        if (!wasSlow || 2 * silentNs <= longestDeadlineNs) {
            return latencyNs;
        }
        double remaining = Math.exp(-silentNs / longestDeadlineNs);
        return idleNs + (latencyNs - idleNs) * remaining;
    }

    /**
     * The time that one more request would take, with the price of another zone as a factor.
     *
     * @param timePerRequestNs the endpoint's {@link #timePerRequestNs}
     */
    double predictedNs(Endpoint endpoint, double timePerRequestNs) {
        Settings s = settings.get();
        boolean isLocal = endpoint.zone().equals(s.zone);
        double factor = isLocal ? 1 : 1 + CROSS_ZONE_FACTOR * s.crossZonePrice;
        if (s.weights == WeightMeaning.LIVE && endpoint.largestWeight() > 0) {
            factor /= endpoint.largestWeight();
        }
        return (1 + endpoint.load.requests(endpoint.inFlight.count())) * timePerRequestNs * factor;
    }
}
