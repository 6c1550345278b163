package trailthread.degradation;

/**
 * The recent share of events that had some trait; older events weigh less, by exponential decay. A
 * number of events without the trait is assumed, as a share of three events proves nothing.
 */
public final class DecayingShare {
    /** Events without the trait that are assumed. */
    private static final double PRIOR_EVENTS = 50;

    private final double spanNs;
    private double events;
    private double withProperty;
    private long updatedAt;

    /**
     * Makes a share of no events.
     *
     * @param spanNs the weight of an event falls to 1/e in this time, ns, above 0
     * @param now time, ns of the caller's clock
     */
    public DecayingShare(double spanNs, long now) {
        this.spanNs = spanNs;
        updatedAt = now;
    }

    /** Counts an event at a time, ns. */
    public void count(long now, boolean hasProperty) {
        decay(now);
        events++;
        withProperty += hasProperty ? 1 : 0;
    }

    /** The share at a time, ns: 0 to below 1. */
    public double share(long now) {
        decay(now);
        return withProperty / (events + PRIOR_EVENTS);
    }

    private void decay(long now) {
        double remaining = Math.exp(-Math.max(0, now - updatedAt) / spanNs);
        events *= remaining;
        withProperty *= remaining;
        updatedAt = now;
    }
}
