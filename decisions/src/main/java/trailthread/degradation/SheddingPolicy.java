package trailthread.degradation;

/**
 * What a node does at present: which calls it takes before the decision module sees them, and what
 * else it does. Immutable.
 *
 * <p>With a depth d, the class in place k of the order (from 0) is shed by the share min(1, max(0,
 * d - k)) (1 - keep): one class after the other, each by degrees. Of the classes in the level's
 * reach, calls over their tenant's quota are all shed but {@code keep} as soon as the level is
 * entered: they have had their part. In the classes past the reach, and so in the last, they are
 * left to the decision module, which serves them after those within.
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

    /** How many classes of the order are shed, the last of them in part. */
    public double depth() {
        return depth;
    }

    /**
     * What share of such calls is taken, 0 to 1. A class that no setting names is taken: the
     * decision module says what is wrong with it.
     */
    public double share(String requestClass, boolean overQuota) {
        int place = order.place(requestClass);
        if (place < 0) {
            return 1;
        }
        boolean first = overQuota && place < order.count(level.reach());
        double shed = first ? 1 : Math.min(1, Math.max(0, depth - place));
        return 1 - shed * (1 - keep);
    }

    /**
     * Whether this call is taken.
     *
     * @param random uniform in [0, 1), drawn for this call
     */
    public boolean takes(String requestClass, boolean overQuota, double random) {
        return random < share(requestClass, overQuota);
    }

    /** Probing periods are multiplied by this, 1 or more. */
    public double probeFactor() {
        return level.probeFactor();
    }
}
