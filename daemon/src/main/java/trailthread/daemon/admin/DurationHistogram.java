package trailthread.daemon.admin;

import java.util.Arrays;

/** How long something took, counted by classes of length. */
final class DurationHistogram {
    /**
     * Upper bounds in seconds: from what the loop does between two polls to what no client waits
     * for.
     */
    private static final double[] UP_TO = {
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

    private final long[] counts;
    private double sumS;

    DurationHistogram() {
        counts = new long[UP_TO.length];
    }

    private DurationHistogram(DurationHistogram other) {
        counts = other.counts.clone();
        sumS = other.sumS;
    }

    void add(long ns) {
        double seconds = Math.max(0, ns) / 1e9;
        int i = 0;
        while (seconds > UP_TO[i]) {
            i++;
        }
        counts[i]++;
        sumS += seconds;
    }

    DurationHistogram copy() {
        return new DurationHistogram(this);
    }

    double[] upTo() {
        return UP_TO.clone();
    }

    /** How many there were above the bound before and up to this one. */
    long[] counts() {
        return counts;
    }

    long count() {
        return Arrays.stream(counts).sum();
    }

    double sumSeconds() {
        return sumS;
    }
}
