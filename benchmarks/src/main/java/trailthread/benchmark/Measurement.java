package trailthread.benchmark;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The results of one measurement by the load generator.
 *
 * @param served requests with response status 200; the latencies are of these
 * @param slow served requests that took longer than {@link #SLOW_NS}
 * @param refused requests with response status 503 or 429
 * @param failed requests with another status or without a response
 * @param reopened connections that were closed and opened again
 * @param seconds duration in which the requests were sent
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
    /** Limit of a slow response, far above the latency of servers that respond at once. */
    static final long SLOW_NS = 100_000_000;

    private static final String PREFIX = "turn";

    static Measurement fromHistogram(
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

    /** Parses a line that {@link #format} wrote. */
    static Measurement parse(String line) {
        Map<String, String> fields = new HashMap<>();
        for (String pair : line.substring(PREFIX.length() + 1).split(" ")) {
            int equals = pair.indexOf('=');
            fields.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return new Measurement(
                longField(fields, "served"),
                longField(fields, "slow"),
                longField(fields, "refused"),
                longField(fields, "failed"),
                longField(fields, "reopened"),
                Double.parseDouble(fields.get("seconds")),
                longField(fields, "p50"),
                longField(fields, "p99"),
                longField(fields, "p999"),
                longField(fields, "max"));
    }

    private static long longField(Map<String, String> fields, String name) {
        return Long.parseLong(fields.get(name));
    }

    /** One line, which {@link #parse} reads. */
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

    long requests() {
        return served + refused + failed;
    }

    /** The cells of the table from req/s to reopened. */
    String tableCells() {
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
