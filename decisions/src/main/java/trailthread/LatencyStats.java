package trailthread;

/**
 * The latency of one endpoint, or of all endpoints together: at present and when idle.
 *
 * <p>The present latency is an exponentially weighted moving average of the logarithms of response
 * times; of logarithms, because one very long response says little about its endpoint. The idle
 * latency is the minimum of a slower moving average, like the minimum round-trip time in TCP Vegas
 * (Brakmo and Peterson, 1995). It drifts up slowly, so that it can also rise. Reads no clock: times
 * are passed in, in nanoseconds.
 */
final class LatencyStats {
    /** Weight of one response in the present latency: an average over about ten responses. */
    static final double LATENCY_WEIGHT = 0.1;

    /** Decay time of the present latency where responses are rare, in mean latency objectives. */
    static final double DECAY_OBJECTIVES = 5;

    /**
     * Weight of the prior, which is the latency of all endpoints, in the estimate for one endpoint:
     * as much as this many responses of the endpoint.
     */
    static final double PRIOR_RESPONSES = 2;

    /**
     * Weight of one response in the slow average. It is small, as the minimum of a noisy average
     * would be too low.
     */
    private static final double SLOW_WEIGHT = 0.02;

    /** Responses after which the slow average may be used as the idle latency. */
    private static final double MIN_RESPONSES_FOR_IDLE = 1 / SLOW_WEIGHT / 4;

    private double latencyNs;
    private double logLatency;
    private double meanInFlight;
    private double idleNs;
    private double slowLogLatency;
    private double recentResponses;
    private int responses;
    private long recordedAt;
    private double logVariance;

    /**
     * Records a response.
     *
     * @param inFlightAtSend this node's attempts in flight at the endpoint when the attempt was
     *     sent
     * @param objectiveNs the mean latency objective
     * @param idleDriftNs the time in which the idle latency drifts up by its own value
     */
    void record(
            double responseNs,
            int inFlightAtSend,
            double objectiveNs,
            double idleDriftNs,
            long now) {
        double log = Math.log(Math.max(1, responseNs));
        double staleWeight = 1 - Math.exp(-(now - recordedAt) / (DECAY_OBJECTIVES * objectiveNs));
        recentResponses = 1 + recentResponses(now, objectiveNs);
        double weight = latencyNs == 0 ? 1 : Math.max(LATENCY_WEIGHT, staleWeight);
        if (latencyNs != 0) {
            logVariance += LATENCY_WEIGHT * (Math.pow(log - logLatency, 2) - logVariance);
        }
        logLatency += weight * (log - logLatency);
        latencyNs = Math.exp(logLatency);
        meanInFlight += weight * (inFlightAtSend - meanInFlight);
        responses++;
        slowLogLatency += Math.max(SLOW_WEIGHT, 1.0 / responses) * (log - slowLogLatency);
        if (responses >= MIN_RESPONSES_FOR_IDLE) {
            recordIdle(idleDriftNs, now);
        }
        recordedAt = now;
    }

    private void recordIdle(double idleDriftNs, long now) {
        double slowNs = Math.exp(slowLogLatency);
        double drifted = idleNs * (1 + (now - recordedAt) / idleDriftNs);
        idleNs = idleNs == 0 ? slowNs : Math.min(slowNs, drifted);
    }

    /**
     * The number of recent responses, with exponential decay over {@link #DECAY_OBJECTIVES} mean
     * latency objectives.
     */
    double recentResponses(long now, double objectiveNs) {
        if (recentResponses == 0) {
            return 0;
        }
        return recentResponses * Math.exp(-(now - recordedAt) / (DECAY_OBJECTIVES * objectiveNs));
    }

    /**
     * How much slower this endpoint is than all endpoints together: the logarithm of the ratio of
     * their slow averages, reduced while this endpoint has had few responses.
     */
    double relativeSlowness(LatencyStats all) {
        return (slowLogLatency - all.slowLogLatency) * responses / (responses + PRIOR_RESPONSES);
    }

    /** The present latency in nanoseconds; 0 before the first response. */
    double latencyNs() {
        return latencyNs;
    }

    /** The natural logarithm of the present latency in nanoseconds. */
    double logLatency() {
        return logLatency;
    }

    /**
     * The mean number of this node's attempts in flight at the endpoint when another one was sent.
     */
    double meanInFlight() {
        return meanInFlight;
    }

    /** The idle latency in nanoseconds; 0: not known yet. */
    double idleNs() {
        return idleNs;
    }

    /** Responses recorded so far. */
    int responses() {
        return responses;
    }

    /** Variance of the logarithms of response times. */
    double logVariance() {
        return logVariance;
    }
}
