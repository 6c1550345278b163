package trailthread.engine.degradation;

/**
 * The age of the latest load report of any endpoint, at the time when one was last expected and did
 * not come. Time in which none is expected does not count: prevents reports from growing old on a
 * node without requests.
 */
final class LoadReportAge {
    private long reportedAt;
    private long missedAt;

    LoadReportAge(long now) {
        reportedAt = now;
        missedAt = now;
    }

    /** An endpoint has reported its load. */
    void reported(long now) {
        reportedAt = now;
    }

    /** A load report was expected and did not come. */
    void missed(long now) {
        missedAt = now;
    }

    /** The age, ns; 0 while reports come. */
    long ageNs() {
        return Math.max(0, missedAt - reportedAt);
    }
}
