package trailthread.lab.experiment;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.lab.random.RandomStreams;

/**
 * The mean of paired differences and its 95% confidence interval, found by resampling (percentile
 * bootstrap: Efron and Tibshirani, "An Introduction to the Bootstrap", 1993, chapter 13). The
 * random stream is fixed, so the same differences give the same interval.
 */
public record Bootstrap(double mean, double low, double high, int pairs) {
    private static final int RESAMPLES = 10_000;
    private static final double CONFIDENCE = 0.95;

    /** How the first policy compares with the second, where higher values are better. */
    public enum Verdict {
        BETTER("better"),
        WORSE("worse"),
        INDISTINGUISHABLE("indistinguishable");

        private final String words;

        Verdict(String words) {
            this.words = words;
        }

        /** The text for the comparison table. */
        public String words() {
            return words;
        }
    }

    /**
     * Estimates the mean of these differences, each the first policy's value minus the second's.
     *
     * @throws IllegalArgumentException if there are no differences
     */
    public static Bootstrap of(double[] differences) {
        if (differences.length == 0) {
            throw new IllegalArgumentException("no pairs to compare");
        }
        double mean = Arrays.stream(differences).average().orElseThrow();
        UniformRandomProvider random = new RandomStreams(differences.length).stream("bootstrap");
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < differences.length; j++) {
                sum += differences[random.nextInt(differences.length)];
            }
            means[i] = sum / differences.length;
        }
        Arrays.sort(means);
        int tailCount = (int) (RESAMPLES * (1 - CONFIDENCE) / 2);
        return new Bootstrap(
                mean, means[tailCount], means[RESAMPLES - 1 - tailCount], differences.length);
    }

    /**
     * {@link Verdict#INDISTINGUISHABLE} if the interval contains 0, or if there are fewer than five
     * pairs, which are too few for an interval.
     */
    public Verdict verdict() {
        if (pairs < 5 || (low <= 0 && high >= 0)) {
            return Verdict.INDISTINGUISHABLE;
        }
        return low > 0 ? Verdict.BETTER : Verdict.WORSE;
    }
}
