package trailthread;

/** Counts events in about the last span, by exponential decay; pure. */
final class DecayingCounter {
    final double span;
    private double count;
    private long at;

    DecayingCounter(long span, long now) {
        this.span = span;
        at = now;
    }

    double inSpan(long now) {
        count *= Math.exp(-(now - at) / span);
        at = now;
        return count;
    }

    void count(long now, double amount) {
        inSpan(now);
        count += amount;
    }
}
