package trailthread;

import trailthread.api.LoadReport;

/**
 * What an endpoint's load reports say, corrected by what this node has sent since.
 *
 * <p>The stale-load correction of the SNS paper (Fox et al., "Cluster-Based Scalable Network
 * Services", SOSP 1997, 3.1.2): without it, all nodes send to the endpoint that was idle at the
 * last report.
 */
final class ReportedLoad {
    /** Weight of a fresh report against the smoothed ones before: two or three of memory. */
    private static final double REPORT_WEIGHT = 0.5;

    private double smoothed;
    private double lastReported = -1;
    private boolean reportsQueue;
    private double serviceTimeNs;
    private long serviceTimeAt;
    private int sentSinceReport;

    /** Takes in a report; a value that is absent or not finite is skipped. */
    void record(LoadReport report, long now) {
        if (report.latencyMs() > 0 && report.latencyMs() < Double.POSITIVE_INFINITY) {
            serviceTimeNs = 1e6 * report.latencyMs();
            serviceTimeAt = now;
        }
        reportsQueue |= report.queue() >= 0;
        double reported = reportsQueue ? report.queue() : report.inflight();
        boolean usable = reported >= 0 && reported < Double.POSITIVE_INFINITY;
        // Responses repeat a report until there is a fresher one.
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
     * Requests at the endpoint: the smoothed report and own sends since that are still in flight.
     *
     * @param inFlight this node's attempts there; requests in hand, if reported, include them
     */
    double requests(int inFlight) {
        double corrected = smoothed + sentSinceReport;
        return reportsQueue ? corrected : Math.max(inFlight, corrected);
    }

    /** The smoothed length of the queue; 0 where none is reported. */
    double queue() {
        return reportsQueue ? smoothed : 0;
    }

    /** The service time of the last report that had one, in nanoseconds. */
    double serviceTimeNs() {
        return serviceTimeNs;
    }

    /** When the last report with a service time came; 0: none has. */
    long serviceTimeAt() {
        return serviceTimeAt;
    }
}
