package trailthread.benchmark;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;

/** What the rounds of one number of connections come to; pure. */
final class Summary {
    private Summary() {}

    static String line(int connections, List<Measurement> node, List<Measurement> proxy) {
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
                spoiltPercent(node),
                spoiltPercent(proxy));
    }

    /** The middle one, or the mean of the two there. */
    static double median(long... values) {
        long[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1
                ? sorted[middle]
                : (sorted[middle - 1] + sorted[middle]) / 2.0;
    }

    /** Percent of the calls of all rounds that were not served soon. */
    static double spoiltPercent(List<Measurement> turns) {
        long spoilt =
                sum(turns, Measurement::slow)
                        + sum(turns, Measurement::refused)
                        + sum(turns, Measurement::failed);
        return 100.0 * spoilt / sum(turns, Measurement::calls);
    }

    private static long sum(List<Measurement> turns, ToLongFunction<Measurement> figure) {
        return turns.stream().mapToLong(figure).sum();
    }
}
