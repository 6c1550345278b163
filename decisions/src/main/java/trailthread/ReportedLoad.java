package trailthread;

import trailthread.api.LoadReport;

/**
 * The load that an endpoint reports, corrected by what this node has sent to it since.
 *
 * <p>The stale-load correction of the SNS paper (Fox et al., "Cluster-Based Scalable Network
 * Services", SOSP 1997, 3.1.2): without it, all nodes would send to the endpoint that was idle at
 * the last report.
 */
final class ReportedLoad {
    /** Weight of a new report in the moving average, which covers about two or three reports. */
    private static final double REPORT_WEIGHT = 0.5;

    private double smoothed;
    private double lastReported = -1;
    private boolean reportsQueue;
    private double serviceTimeNs;
    private long serviceTimeAt;
    private int sentSinceReport;

    /** Records a report; values that are absent, negative or not finite are ignored. */
    void record(LoadReport report, long now) {
        if (report.latencyMs() > 0 && report.latencyMs() < Double.POSITIVE_INFINITY) {
            serviceTimeNs = 1e6 * report.latencyMs();
            serviceTimeAt = now;
        }
        reportsQueue |= report.queue() >= 0;
        double reported = reportsQueue ? report.queue() : report.inflight();
        boolean usable = reported >= 0 && reported < Double.POSITIVE_INFINITY;
        // Responses repeat a report until the endpoint has a newer one.
        if (usable && reported != lastReported) {
            lastReported = reported;
            smoothed += REPORT_WEIGHT * (reported - smoothed);
            sentSinceReport = 0;
        }
    }

    void attemptSent() {
        sentSinceReport++;
    }

    void attemptEnded() {
        sentSinceReport = Math.max(0, sentSinceReport - 1);
    }

    /**
     * The requests at the endpoint: the smoothed report plus this node's attempts since that are
     * still in flight.
     *
     * @param inFlight this node's attempts in flight there. A reported number of requests in flight
     *     includes these, so they are a lower bound; a reported queue need not include them
     */
    double requests(int inFlight) {
        double corrected = smoothed + sentSinceReport;
        return reportsQueue ? corrected : Math.max(inFlight, corrected);
    }

    /** The smoothed length of the queue; 0 if it is not reported. */
    double queue() {
        return reportsQueue ? smoothed : 0;
    }

    /** The service time of the last report that had one, in nanoseconds. */
    double serviceTimeNs() {
        return serviceTimeNs;
    }

    /** When the last report with a service time came; 0: none has come. */
    long serviceTimeAt() {
        return serviceTimeAt;
    }
}
