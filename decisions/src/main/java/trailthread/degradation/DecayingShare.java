package trailthread.degradation;

/**
 * A share of late: of what was counted, how much had some trait; what is older weighs less, by
 * exponential decay. Some that had not are assumed, as a share of three calls proves nothing.
 */
public final class DecayingShare {
    private static final double ASSUMED = 50;

    private final double spanNs;
    private double all;
    private double with;
    private long at;

    /** Makes one that forgets all but 1/e in a span, ns, above 0. */
    public DecayingShare(double spanNs, long now) {
        this.spanNs = spanNs;
        at = now;
    }

    /** Counts one. */
    public void count(long now, boolean hasTrait) {
        decay(now);
        all++;
        with += hasTrait ? 1 : 0;
    }

    /** The share, 0 to below 1. */
    public double share(long now) {
        decay(now);
        return with / (all + ASSUMED);
    }

    private void decay(long now) {
        double kept = Math.exp(-Math.max(0, now - at) / spanNs);
        all *= kept;
        with *= kept;
        at = now;
    }
}
