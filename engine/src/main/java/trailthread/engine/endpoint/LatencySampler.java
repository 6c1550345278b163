package trailthread.engine.endpoint;

/**
 * Decides which latency to report for a response of one endpoint, where the node knows only a lower
 * and an upper bound of it. Does no I/O and reads no clock.
 *
 * <p>The bounds differ by the time for which the node's own event loop was late. Added to the
 * latency, it would make an endpoint look slow whenever the node is; subtracted, it would make the
 * endpoint look faster than it ever is, and overloaded from then on. So no latency is reported for
 * a response whose bounds are far apart. The limit must not depend on the latency itself: if short
 * ones were reported under bounds that leave long ones unknown, the estimate would be biased
 * towards the short ones. There is one exception: an endpoint that took many times as long as usual
 * for certain is reported with the lower bound.
 */
final class LatencySampler {
    static final long UNKNOWN = -1;

    /** The weight of a new sample in the moving average, which thus spans about ten of them. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** How far the bounds may be apart, as a fraction of the usual latency. */
    private static final double MAX_RELATIVE_GAP = 0.4;

    /** A lower bound of at least this multiple of the usual latency is reported by itself. */
    private static final double FAR_ABOVE_USUAL = 3;

    /** The bounds may always be this far apart, in nanoseconds. */
    private final long toleranceNs;

    /** Moving average of the logarithm, so that a single very long response counts for little. */
    private double logUsual;

    private boolean hasSamples;

    /**
     * @param toleranceNs a difference in latency that is of no importance, in nanoseconds
     */
    LatencySampler(long toleranceNs) {
        this.toleranceNs = toleranceNs;
    }

    /**
     * Returns the latency to report for a response, or {@link #UNKNOWN}, and learns from it.
     *
     * @param atLeastNs the lower bound, in nanoseconds
     * @param atMostNs the upper bound, in nanoseconds
     */
    long sample(long atLeastNs, long atMostNs) {
        long least = Math.max(1, atLeastNs);
        long most = Math.max(least, atMostNs);
        double usual = hasSamples ? Math.exp(logUsual) : 0;
        double latency = (least + most) / 2.0;
        if (most - least > Math.max(toleranceNs, MAX_RELATIVE_GAP * usual)) {
            if (!hasSamples || least < FAR_ABOVE_USUAL * usual) {
                return UNKNOWN;
            }
            latency = least;
        }
        logUsual += (hasSamples ? SAMPLE_WEIGHT : 1) * (Math.log(latency) - logUsual);
        hasSamples = true;
        return (long) latency;
    }
}
