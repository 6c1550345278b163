package trailthread;

/**
 * A count with exponential decay, about that of the last span: {@code count(t) = sum of amount *
 * e^-((t - at) / span)}, at most the largest double. Reads no clock: the time is passed in and must
 * not decrease.
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
        count = Math.min(value(now) + amount, Double.MAX_VALUE);
    }
}
