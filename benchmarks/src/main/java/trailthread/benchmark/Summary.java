package trailthread.benchmark;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;

/** What the rounds of one number of connections come to; pure. */
final class Summary {
    private Summary() {}

    static String line(int connections, List<Turn> node, List<Turn> proxy) {
        double nodeNs = median(node.stream().mapToLong(Turn::p99Ns).toArray());
        double proxyNs = median(proxy.stream().mapToLong(Turn::p99Ns).toArray());
        return String.format(
                Locale.ROOT,
                "%d connections: median p99 node %.2f ms, proxy %.2f ms, ratio %.2f; "
                        + "refused node %d, proxy %d; slow, refused or failed node %.3f%%, proxy %.3f%%",
                connections,
                nodeNs / 1e6,
                proxyNs / 1e6,
                nodeNs / proxyNs,
                sum(node, Turn::refused),
                sum(proxy, Turn::refused),
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
    static double spoiltPercent(List<Turn> turns) {
        long spoilt = sum(turns, Turn::slow) + sum(turns, Turn::refused) + sum(turns, Turn::failed);
        return 100.0 * spoilt / sum(turns, Turn::calls);
    }

    private static long sum(List<Turn> turns, ToLongFunction<Turn> figure) {
        return turns.stream().mapToLong(figure).sum();
    }
}
