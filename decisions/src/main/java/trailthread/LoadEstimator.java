package trailthread;

import trailthread.api.Settings;
import trailthread.api.WeightMeaning;

/**
 * Predicts how long one more request would take at an endpoint, in nanoseconds.
 *
 * <p>{@code prediction = (1 + requests) * timePerRequest}, as in the SNS paper (Fox et al., SOSP
 * 1997, 3.1.2). The requests at the endpoint are those of its load reports, corrected by what this
 * node has sent since. The time per request is the endpoint's latency divided by the requests
 * there. A single node has too few responses of an endpoint to notice a change of its latency in
 * time. So the latency is estimated as a weighted mean, in logarithms, of three sources: the
 * endpoint's recent responses, the service time that it reports (which covers its responses to all
 * nodes), and the responses of all endpoints, scaled by how much slower this endpoint has been.
 */
final class LoadEstimator {
    /** Weight of a fresh report of service time: as much as this many responses of the endpoint. */
    private static final double REPORT_RESPONSES = 5;

    /**
     * The idle latency drifts up by its own value in this many longest deadlines: minutes, so that
     * an overload does not raise it.
     */
    private static final double IDLE_DRIFT_DEADLINES = 300;

    /**
     * While responses are awaited, the time per request is at least the time since the endpoint
     * fell silent, divided by this: a long silence shows a slow or unresponsive endpoint.
     */
    private static final double SILENCE_DIVISOR = 3;

    /**
     * A cross-zone price p multiplies the predicted time of endpoints in other zones by 1 + p times
     * this.
     */
    private static final double CROSS_ZONE_FACTOR = 20;

    private final ActiveSettings settings;
    private final WorkloadMeans means;

    /** The responses of all endpoints together. */
    private final LatencyStats allEndpoints = new LatencyStats();

    /** The mean of latency less the service time that the endpoint reports, in nanoseconds. */
    private double queueingDelayNs;

    LoadEstimator(ActiveSettings settings, WorkloadMeans means) {
        this.settings = settings;
        this.means = means;
    }

    /** The responses of all endpoints together. */
    LatencyStats allEndpoints() {
        return allEndpoints;
    }

    /**
     * Updates the mean queueing delay, if the response came with a report of service time.
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
        allEndpoints.record(latencyNs, inFlight, objectiveNs, driftNs, now);
    }

    /**
     * The endpoint's present latency in nanoseconds; 0 before the first response of any endpoint.
     */
    double latencyNs(Endpoint endpoint, long now) {
        LatencyStats stats = endpoint.latency;
        if (allEndpoints.latencyNs() == 0) {
            return stats.latencyNs();
        }
        long reportedAt = endpoint.load.serviceTimeAt();
        if (stats.responses() == 0 && reportedAt == 0) {
            return allEndpoints.latencyNs();
        }
        double prior = LatencyStats.PRIOR_RESPONSES;
        double ownResponses = stats.recentResponses(now, means.objectiveNs());
        double sum =
                ownResponses * stats.logLatency()
                        + prior
                                * (allEndpoints.logLatency()
                                        + stats.relativeSlowness(allEndpoints));
        double count = ownResponses + prior;
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

    /**
     * The idle latency in nanoseconds: that of the endpoint if it is known, else that of all
     * endpoints; 0: not known.
     */
    double idleNs(Endpoint endpoint) {
        double ownNs = endpoint.latency.idleNs();
        return ownNs > 0 ? ownNs : allEndpoints.idleNs();
    }

    /**
     * The time that the endpoint takes per request there, in nanoseconds; longer while responses
     * are overdue.
     */
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
     * Lets the latency of an endpoint without attempts decay to the idle latency. Otherwise a slow
     * endpoint would not be drawn again, and so would count as slow for ever.
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
     * The predicted time of one more request, in nanoseconds, increased by the cross-zone price for
     * an endpoint in another zone.
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
