package trailthread.engine.degradation;

/**
 * The age of the latest load report of any endpoint, as of the last time that a report was expected
 * but did not come. Time in which none is expected does not count: prevents reports from growing
 * old on a node without requests.
 */
final class LoadReportAge {
    private long lastReportAt;
    private long lastMissedAt;

    LoadReportAge(long now) {
        lastReportAt = now;
        lastMissedAt = now;
    }

    /** A load report was received. */
    void reportReceived(long now) {
        lastReportAt = now;
    }

    /** A load report was expected and did not come. */
    void reportMissed(long now) {
        lastMissedAt = now;
    }

    /** Returns the age, ns; 0 if the last expected report was received. */
    long ageNs() {
        return Math.max(0, lastMissedAt - lastReportAt);
    }
}
