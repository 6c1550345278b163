package trailthread.degradation;

/**
 * What a node does at a level of service: which requests it admits before the balancer decides on
 * them, and how often it checks endpoints. Immutable.
 *
 * <p>At a depth d, the share {@code min(1, max(0, d - k)) * (1 - keep)} of the class at position k
 * of the order (from 0) is shed. So classes are shed one after the other, each gradually. In
 * classes within the level's reach, requests over their tenant's quota are shed as soon as the
 * level is entered, except for the share {@code keep}. In the other classes, and so in the last
 * one, requests over the quota are left to the balancer, which serves them after those within the
 * quota.
 */
public final class SheddingPolicy {
    private final SheddingOrder order;
    private final DegradationLevel level;
    private final double depth;
    private final double keep;

    SheddingPolicy(SheddingOrder order, DegradationLevel level, double depth, double keep) {
        this.order = order;
        this.level = level;
        this.depth = depth;
        this.keep = keep;
    }

    /** The level in force. */
    public DegradationLevel level() {
        return level;
    }

    /** How many classes of the order are shed, the last of them possibly in part. */
    public double depth() {
        return depth;
    }

    /**
     * The share of requests of this kind that is admitted, 0 to 1. Requests of an unknown class are
     * admitted, and the balancer reports the error.
     */
    public double share(String requestClass, boolean overQuota) {
        int position = order.position(requestClass);
        if (position < 0) {
            return 1;
        }
        boolean allShed = overQuota && position < order.classesIn(level.reach());
        double shed = allShed ? 1 : Math.min(1, Math.max(0, depth - position));
        return 1 - shed * (1 - keep);
    }

    /**
     * Whether a request is admitted.
     *
     * @param overQuota whether its tenant has used up its quota
     * @param random uniform in [0, 1), drawn for this request
     */
    public boolean admits(String requestClass, boolean overQuota, double random) {
        return random < share(requestClass, overQuota);
    }

    /** The periods of health checks are multiplied by this, 1 or more. */
    public double probeFactor() {
        return level.probeFactor();
    }
}
