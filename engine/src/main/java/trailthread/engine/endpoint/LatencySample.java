package trailthread.engine.endpoint;

/**
 * What is to be told of how long an endpoint took, where the node knows only that it was at least
 * and at most so long; pure.
 *
 * <p>What lies between the two bounds is the node's own lateness. Told with it, an endpoint passes
 * for slow when the node is; told without, for quicker than it ever is, and for jammed ever after.
 * So an answer whose bounds lie far apart tells of no time at all. How far must not depend on the
 * answer: were short ones known as short through bounds that leave long ones unknown, only they
 * would be learnt. One exception: an endpoint that was surely many times as slow as usual is told
 * of, by the lower bound.
 */
final class LatencySample {
    static final long UNKNOWN = -1;

    /** About ten answers of memory. */
    private static final double WEIGHT = 0.1;

    /** The bounds may lie apart by this share of what is usual. */
    private static final double CLOSE = 0.4;

    /** From this multiple of what is usual on, the lower bound alone is worth telling. */
    private static final double FAR = 3;

    /** By so much they may differ all the same: it matters to nobody. */
    private final long fineNs;

    /** Mean of the logarithm: one giant among the answers says little. */
    private double usualLog;

    private boolean known;

    /**
     * @param fineNs differences of time that matter to nobody, in nanoseconds
     */
    LatencySample(long fineNs) {
        this.fineNs = fineNs;
    }

    /** The time to tell, in nanoseconds, or {@link #UNKNOWN}. */
    long told(long atLeastNs, long atMostNs) {
        long least = Math.max(1, atLeastNs);
        long most = Math.max(least, atMostNs);
        double usual = known ? Math.exp(usualLog) : 0;
        double told = (least + most) / 2.0;
        if (most - least > Math.max(fineNs, CLOSE * usual)) {
            if (!known || least < FAR * usual) {
                return UNKNOWN;
            }
            told = least;
        }
        usualLog += (known ? WEIGHT : 1) * (Math.log(told) - usualLog);
        known = true;
        return (long) told;
    }
}
