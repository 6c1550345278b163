package trailthread;

/** Exponentially weighted means over all requests of this node. */
final class WorkloadMeans {
    /** Weight of one request in the mean work: an average over about a hundred requests. */
    private static final double WORK_WEIGHT = 0.01;

    /** Weight of one response in the mean latency: an average over about forty responses. */
    private static final double LATENCY_WEIGHT = LatencyStats.LATENCY_WEIGHT / 4;

    /**
     * The smallest weight of one request in the mean objective, however small its priority weight.
     */
    private static final double MIN_OBJECTIVE_WEIGHT = 0.001;

    private double workNs;
    private double latencyNs;
    private double objectiveNs;

    /**
     * @param objectiveNs the mean latency objective to start from
     */
    WorkloadMeans(double objectiveNs) {
        this.objectiveNs = objectiveNs;
    }

    /** Records the work that a request announces; 0: it announces none. */
    void recordWork(long requestWorkNs) {
        if (requestWorkNs > 0) {
            workNs += (workNs == 0 ? 1 : WORK_WEIGHT) * (requestWorkNs - workNs);
        }
    }

    /** Records the latency of a response, scaled to a request of mean work. */
    void recordLatency(double responseNs) {
        latencyNs += nextResponseWeight(latencyNs) * (responseNs - latencyNs);
    }

    /**
     * Records a request's latency objective.
     *
     * @param weightShare the request's part of all recent priority weight
     */
    void recordObjective(long requestObjectiveNs, double weightShare) {
        objectiveNs +=
                Math.max(MIN_OBJECTIVE_WEIGHT, weightShare) * (requestObjectiveNs - objectiveNs);
    }

    /**
     * The weight of the next response in a mean latency with this value; 1 for the first response,
     * when the value is 0.
     */
    static double nextResponseWeight(double meanNs) {
        return meanNs == 0 ? 1 : LATENCY_WEIGHT;
    }

    /** Whether a request's announced work can be compared with that of others. */
    boolean canCompare(long requestWorkNs) {
        return requestWorkNs > 0 && workNs > 0;
    }

    /** A request's work in multiples of the mean; 1 where it is not known. */
    double relativeWork(long requestWorkNs) {
        return canCompare(requestWorkNs) ? requestWorkNs / workNs : 1;
    }

    /** The mean latency of responses, scaled to mean work; 0 before the first response. */
    double latencyNs() {
        return latencyNs;
    }

    /** The mean latency objective, weighted by priority weight; at least 1 ns. */
    double objectiveNs() {
        return Math.max(1, objectiveNs);
    }
}
