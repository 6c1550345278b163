package trailthread.engine.endpoint;

/**
 * Decides which latency to report for a response of one endpoint, where the node knows only a lower
 * and an upper bound of that latency. Does no I/O and reads no clock.
 *
 * <p>The bounds differ by the time for which the node's own event loop was late. If that time were
 * added to the latency, an endpoint would look slow whenever the node is; if it were subtracted,
 * the endpoint would look faster than it ever is, and overloaded from then on. So no latency is
 * reported for a response whose bounds are far apart. How far must not depend on the latency
 * itself: if short latencies were reported under bounds that leave long ones unknown, the estimate
 * would be biased towards the short ones. There is one exception: if even the lower bound is many
 * times the usual latency, the lower bound is reported.
 */
final class LatencySampler {
    static final long UNKNOWN = -1;

    /** The weight of a new sample in the moving average, which thus spans about ten samples. */
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
     * @param toleranceNs bounds that differ by no more than this are always close enough, in
     *     nanoseconds
     */
    LatencySampler(long toleranceNs) {
        this.toleranceNs = toleranceNs;
    }

    /**
     * Returns the latency to report for a response, or {@link #UNKNOWN}. A reported latency updates
     * the moving average.
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
