package trailthread.lab.experiment;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.lab.random.RandomStreams;

/**
 * The mean of paired differences, with an interval by resampling them (percentile bootstrap: Efron
 * and Tibshirani, "An Introduction to the Bootstrap", 1993, chapter 13). The same differences give
 * the same interval.
 */
public record Bootstrap(double mean, double low, double high, int pairs) {
    private static final int SAMPLES = 10_000;
    private static final double LEVEL = 0.95;

    /** What the interval says of the first against the second. */
    public enum Verdict {
        BETTER("better"),
        WORSE("worse"),
        NOT_TOLD_APART("not told apart");

        private final String words;

        Verdict(String words) {
            this.words = words;
        }

        /** For people. */
        public String words() {
            return words;
        }
    }

    /**
     * Of these differences, the first less the second.
     *
     * @throws IllegalArgumentException without any
     */
    public static Bootstrap of(double[] differences) {
        if (differences.length == 0) {
            throw new IllegalArgumentException("no pairs");
        }
        double mean = Arrays.stream(differences).average().orElseThrow();
        UniformRandomProvider random = new RandomStreams(differences.length).stream("bootstrap");
        double[] means = new double[SAMPLES];
        for (int i = 0; i < SAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < differences.length; j++) {
                sum += differences[random.nextInt(differences.length)];
            }
            means[i] = sum / differences.length;
        }
        Arrays.sort(means);
        int tailCount = (int) (SAMPLES * (1 - LEVEL) / 2);
        return new Bootstrap(
                mean, means[tailCount], means[SAMPLES - 1 - tailCount], differences.length);
    }

    /**
     * Where the interval holds 0, or there are too few pairs for one (under five), the two are not
     * told apart.
     */
    public Verdict verdict() {
        if (pairs < 5 || (low <= 0 && high >= 0)) {
            return Verdict.NOT_TOLD_APART;
        }
        return low > 0 ? Verdict.BETTER : Verdict.WORSE;
    }
}
