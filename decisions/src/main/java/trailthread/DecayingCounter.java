package trailthread;

/**
 * A count of about the last span, by exponential decay: {@code count(t) = sum of amount * e^-((t -
 * at) / span)}. Pure: time is handed in and never goes back.
 */
final class DecayingCounter {
    private final double spanNs;
    private double count;
    private long updatedAt;

    DecayingCounter(long spanNs, long now) {
        this.spanNs = spanNs;
        updatedAt = now;
    }

    double spanNs() {
        return spanNs;
    }

    double value(long now) {
        count *= Math.exp(-(now - updatedAt) / spanNs);
        updatedAt = now;
        return count;
    }

    void add(long now, double amount) {
        value(now);
        count += amount;
    }
}
