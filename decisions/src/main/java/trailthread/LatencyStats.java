package trailthread;

/** Latency of the answers of one endpoint, or of all together: now, and when idle; pure. */
class LatencyStats {
    /** Weight of one answer in an endpoint's latency: about ten answers of memory. */
    static final double LATENCY_WEIGHT = 0.1;

    /**
     * The same for the idle latency: the least of a noisy mean lies low, of fifty answers hardly.
     */
    private static final double SLOW_WEIGHT = 0.02;

    /** Memory of an endpoint's latency where answers are rare, in mean aims. */
    static final double LATENCY_MEMORY_AIMS = 5;

    /** What is borrowed from all endpoints for the estimate of one, in answers of its own. */
    static final double BORROWED = 2;

    /**
     * Smoothed latency of its answers, and the own sends that were out there when each was sent.
     */
    double latency, logLatency, depth;

    /** The least smoothed latency seen, drifting up slowly: what it takes when idle. */
    double floor;

    double slowLog, recent;
    int answers;
    long tookAt;

    /** Of the logarithm of single answers. */
    double variance;

    /** Smooths the logarithm: one giant among the answers says little about the endpoint. */
    void took(double ns, int outAtSend, double meanAim, double memory, long now) {
        double log = Math.log(Math.max(1, ns));
        double rare = 1 - Math.exp(-(now - tookAt) / (LATENCY_MEMORY_AIMS * meanAim));
        recent = 1 + recent(now, meanAim);
        double weight = latency == 0 ? 1 : Math.max(LATENCY_WEIGHT, rare);
        variance += latency == 0 ? 0 : LATENCY_WEIGHT * (Math.pow(log - logLatency, 2) - variance);
        logLatency += weight * (log - logLatency);
        latency = Math.exp(logLatency);
        depth += weight * (outAtSend - depth);
        slowLog += Math.max(SLOW_WEIGHT, 1.0 / ++answers) * (log - slowLog);
        if (answers >= 1 / SLOW_WEIGHT / 4) {
            double drifted = floor * (1 + (now - tookAt) / memory);
            floor = floor == 0 ? Math.exp(slowLog) : Math.min(Math.exp(slowLog), drifted);
        }
        tookAt = now;
    }

    /** Answers of late. */
    double recent(long now, double meanAim) {
        if (recent == 0) {
            return 0;
        }
        return recent * Math.exp(-(now - tookAt) / (LATENCY_MEMORY_AIMS * meanAim));
    }

    /** How much longer it takes than all together, as a logarithm, as far as it has told. */
    double slowness(LatencyStats all) {
        return (slowLog - all.slowLog) * answers / (answers + BORROWED);
    }
}
