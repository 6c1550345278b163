package trailthread.api;

/** A load report; NaN where a value is absent. */
public record LoadReport(
        double inflight, double queue, double util, double latencyMs, double qps, double eps) {}
