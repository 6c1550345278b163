package trailthread.api;

/**
 * The load that an endpoint reports; a value that is absent is NaN.
 *
 * @param inflight requests that the endpoint holds, whether queued or being served
 * @param queue requests in its queue
 * @param util utilisation, 0 to 1
 * @param latencyMs its recent service time, in milliseconds
 * @param qps requests a second
 * @param eps errors a second
 */
public record LoadReport(
        double inflight, double queue, double util, double latencyMs, double qps, double eps) {}
