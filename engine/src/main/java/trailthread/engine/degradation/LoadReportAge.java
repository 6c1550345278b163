package trailthread.engine.degradation;

/**
 * How old the youngest load report of any endpoint was when one was last owed and did not come;
 * pure. Time in which none is owed does not count, or a node without calls would see its reports
 * grow old.
 */
final class LoadReportAge {
    private long reportedAt;
    private long missedAt;

    LoadReportAge(long now) {
        reportedAt = now;
        missedAt = now;
    }

    /** An endpoint has told of its load. */
    void reported(long now) {
        reportedAt = now;
    }

    /** An endpoint should have told of its load, and did not. */
    void missed(long now) {
        missedAt = now;
    }

    /** The age, ns; 0 while reports come. */
    long ns() {
        return Math.max(0, missedAt - reportedAt);
    }
}
