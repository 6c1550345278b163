package trailthread;

import trailthread.api.RequestClass;

/** A request class with its demand, service and mean latency. */
final class RequestClassStats extends DemandStats {
    final RequestClass rules;
    private double latencyNs;

    RequestClassStats(RequestClass rules, long decayNs, long now) {
        super(decayNs, now);
        this.rules = rules;
    }

    void recordLatency(long responseNs) {
        latencyNs += WorkloadMeans.nextResponseWeight(latencyNs) * (responseNs - latencyNs);
    }

    /** The mean latency of the class's responses; 0 before the first response. */
    double latencyNs() {
        return latencyNs;
    }
}
