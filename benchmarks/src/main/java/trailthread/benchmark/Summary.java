package trailthread.benchmark;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;

/** Summarizes all rounds with the same number of connections. */
final class Summary {
    private Summary() {}

    static String format(int connections, List<Measurement> node, List<Measurement> proxy) {
        double nodeNs = median(node.stream().mapToLong(Measurement::p99Ns).toArray());
        double proxyNs = median(proxy.stream().mapToLong(Measurement::p99Ns).toArray());
        return String.format(
                Locale.ROOT,
                "%d connections: median p99 node %.2f ms, proxy %.2f ms, ratio %.2f; "
                        + "refused node %d, proxy %d; slow, refused or failed node %.3f%%, proxy %.3f%%",
                connections,
                nodeNs / 1e6,
                proxyNs / 1e6,
                nodeNs / proxyNs,
                sum(node, Measurement::refused),
                sum(proxy, Measurement::refused),
                slowOrFailedPercent(node),
                slowOrFailedPercent(proxy));
    }

    /** The middle value, or the mean of the two middle values. */
    static double median(long... values) {
        long[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1
                ? sorted[middle]
                : (sorted[middle - 1] + sorted[middle]) / 2.0;
    }

    /** Percentage of all requests that were slow, refused or failed. */
    static double slowOrFailedPercent(List<Measurement> measurements) {
        long slowOrFailed =
                sum(measurements, Measurement::slow)
                        + sum(measurements, Measurement::refused)
                        + sum(measurements, Measurement::failed);
        return 100.0 * slowOrFailed / sum(measurements, Measurement::requests);
    }

    private static long sum(List<Measurement> measurements, ToLongFunction<Measurement> count) {
        return measurements.stream().mapToLong(count).sum();
    }
}
