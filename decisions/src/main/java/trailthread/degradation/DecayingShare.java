package trailthread.degradation;

/**
 * The share of recent events that have some property, with exponential decay. A number of events
 * without the property is always added, so that a few events alone do not give a large share.
 */
public final class DecayingShare {
    /** Events without the property that are always added. */
    private static final double PRIOR_EVENTS = 50;

    private final double spanNs;
    private double events;
    private double withProperty;
    private long updatedAt;

    /**
     * Creates a share without events.
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
