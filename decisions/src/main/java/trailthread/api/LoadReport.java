package trailthread.api;

/**
 * What an endpoint reports of its load; NaN where a value is absent.
 *
 * @param inflight requests that it works on or holds
 * @param queue requests that wait in it
 * @param util utilisation, 0 to 1
 * @param latencyMs its service time of late, in milliseconds
 * @param qps requests a second
 * @param eps errors a second
 */
public record LoadReport(
        double inflight, double queue, double util, double latencyMs, double qps, double eps) {}
