package trailthread;

/**
 * Latency of the responses of one endpoint, or of all together: at present and when idle.
 *
 * <p>The present latency is an exponential mean of the logarithm of single latencies, as one very
 * long response says little about its endpoint. The idle latency is the least value of a slower
 * mean, drifting up slowly, as the minimum round-trip time in TCP Vegas (Brakmo and Peterson,
 * 1995). Pure: times are handed in, in nanoseconds.
 */
final class LatencyStats {
    /** Weight of one response in the present latency: about ten responses of memory. */
    static final double LATENCY_WEIGHT = 0.1;

    /** Memory of the present latency where responses are rare, in mean latency objectives. */
    static final double DECAY_OBJECTIVES = 5;

    /** Weight of all endpoints' responses in the estimate for one, in responses of its own. */
    static final double PRIOR_RESPONSES = 2;

    /** Weight of one response in the slow mean: the least of a noisy mean would lie too low. */
    private static final double SLOW_WEIGHT = 0.02;

    /** Responses before the slow mean is trusted as an idle latency. */
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
     * @param inFlightAtSend this node's attempts at the endpoint when it was sent
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

    /** Responses of late, fading over {@link #DECAY_OBJECTIVES} objectives. */
    double recentResponses(long now, double objectiveNs) {
        if (recentResponses == 0) {
            return 0;
        }
        return recentResponses * Math.exp(-(now - recordedAt) / (DECAY_OBJECTIVES * objectiveNs));
    }

    /** How much slower it is than all together, as a logarithm, as far as its responses show. */
    double relativeSlowness(LatencyStats all) {
        return (slowLogLatency - all.slowLogLatency) * responses / (responses + PRIOR_RESPONSES);
    }

    /** The present latency in nanoseconds; 0: no response has come. */
    double latencyNs() {
        return latencyNs;
    }

    /** The natural logarithm of the present latency in nanoseconds. */
    double logLatency() {
        return logLatency;
    }

    /** Mean number of this node's attempts that were in flight when one was sent. */
    double meanInFlight() {
        return meanInFlight;
    }

    /** The latency when idle, in nanoseconds; 0: not known yet. */
    double idleNs() {
        return idleNs;
    }

    /** Responses recorded so far. */
    int responses() {
        return responses;
    }

    /** Variance of the logarithm of single latencies. */
    double logVariance() {
        return logVariance;
    }
}
