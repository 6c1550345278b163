package trailthread.daemon.admin;

import java.util.Arrays;

/** A histogram of durations with fixed buckets. */
final class DurationHistogram {
    /**
     * Upper bounds of the buckets in seconds: from one pass of the loop to the longest deadlines.
     */
    private static final double[] UPPER_BOUNDS_S = {
        0.001,
        0.0025,
        0.005,
        0.01,
        0.025,
        0.05,
        0.1,
        0.25,
        0.5,
        1,
        2.5,
        5,
        10,
        Double.POSITIVE_INFINITY
    };

    private static final double NS_PER_SECOND = 1e9;

    private final long[] counts;
    private double sumSeconds;

    DurationHistogram() {
        counts = new long[UPPER_BOUNDS_S.length];
    }

    private DurationHistogram(DurationHistogram other) {
        counts = other.counts.clone();
        sumSeconds = other.sumSeconds;
    }

    /** Adds a duration in nanoseconds; a negative one counts as 0. */
    void add(long ns) {
        double seconds = Math.max(0, ns) / NS_PER_SECOND;
        int bucket = 0;
        while (seconds > UPPER_BOUNDS_S[bucket]) {
            bucket++;
        }
        counts[bucket]++;
        sumSeconds += seconds;
    }

    DurationHistogram copy() {
        return new DurationHistogram(this);
    }

    /** The upper bounds of the buckets, in seconds. */
    double[] upperBoundsSeconds() {
        return UPPER_BOUNDS_S.clone();
    }

    /** The number of durations in each bucket, not cumulative. */
    long[] counts() {
        return counts;
    }

    long count() {
        return Arrays.stream(counts).sum();
    }

    double sumSeconds() {
        return sumSeconds;
    }
}
