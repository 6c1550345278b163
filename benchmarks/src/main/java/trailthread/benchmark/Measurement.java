package trailthread.benchmark;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The figures of one turn, as the load generator has them; pure.
 *
 * @param served calls answered 200; the latencies, in ns, are of these
 * @param slow of these, those that took longer than {@link #SLOW_NS}
 * @param refused calls answered 503 or 429
 * @param failed calls answered otherwise, or not at all
 * @param reopened connections that were closed, and opened again
 * @param seconds over which the calls were begun
 */
record Measurement(
        long served,
        long slow,
        long refused,
        long failed,
        long reopened,
        double seconds,
        long p50Ns,
        long p99Ns,
        long p999Ns,
        long maxNs) {
    /** No call of workers that answer at once has a reason to take so long. */
    static final long SLOW_NS = 100_000_000;

    private static final String PREFIX = "turn";

    static Measurement of(
            Histogram served, long refused, long failed, long reopened, double seconds) {
        long slow = served.getTotalCount() - served.getCountBetweenValues(0, SLOW_NS);
        return new Measurement(
                served.getTotalCount(),
                slow,
                refused,
                failed,
                reopened,
                seconds,
                served.getValueAtPercentile(50),
                served.getValueAtPercentile(99),
                served.getValueAtPercentile(99.9),
                served.getMaxValue());
    }

    /** The figures out of one line. */
    static Measurement parse(String line) {
        Map<String, String> figures = new HashMap<>();
        for (String pair : line.substring(PREFIX.length() + 1).split(" ")) {
            int equals = pair.indexOf('=');
            figures.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return new Measurement(
                whole(figures, "served"),
                whole(figures, "slow"),
                whole(figures, "refused"),
                whole(figures, "failed"),
                whole(figures, "reopened"),
                Double.parseDouble(figures.get("seconds")),
                whole(figures, "p50"),
                whole(figures, "p99"),
                whole(figures, "p999"),
                whole(figures, "max"));
    }

    private static long whole(Map<String, String> figures, String name) {
        return Long.parseLong(figures.get(name));
    }

    /** One line that {@link #parse} reads. */
    String format() {
        return PREFIX
                + " served="
                + served
                + " slow="
                + slow
                + " refused="
                + refused
                + " failed="
                + failed
                + " reopened="
                + reopened
                + " seconds="
                + seconds
                + " p50="
                + p50Ns
                + " p99="
                + p99Ns
                + " p999="
                + p999Ns
                + " max="
                + maxNs;
    }

    long calls() {
        return served + refused + failed;
    }

    /** The cells of a table, from calls/s to reopened. */
    String cells() {
        return String.format(
                Locale.ROOT,
                "%8.0f %8.2f %8.2f %8.2f %8.2f %6d %8d %7d %9d",
                served / seconds,
                p50Ns / 1e6,
                p99Ns / 1e6,
                p999Ns / 1e6,
                maxNs / 1e6,
                slow,
                refused,
                failed,
                reopened);
    }
}
