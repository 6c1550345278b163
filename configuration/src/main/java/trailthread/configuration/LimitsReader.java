package trailthread.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.PoolConfig.Limits;
import trailthread.engine.pool.PoolConfig.QuotaRange;

/** Reads the limits of pools, and checks that all guarantees can be kept together. */
final class LimitsReader {
    /**
     * The default guarantee is this fraction of the total. It does not depend on the number of
     * pools, so that a reload that adds or removes a pool leaves the others as they are.
     */
    private static final long DEFAULT_GUARANTEE_DIVISOR = 16;

    private static final double MIN_LOOP_WEIGHT = 0.01;
    private static final double MAX_LOOP_WEIGHT = 1000;

    /**
     * A resource that the pools share.
     *
     * @param name for messages
     * @param total the amount that all pools have together
     * @param range the guaranteed and the maximum amount of a pool
     */
    private record Resource(String name, long total, Function<Limits, QuotaRange> range) {}

    private final ResourceTotals totals;

    /** Creates a reader of limits that may not exceed the totals. */
    LimitsReader(ResourceTotals totals) {
        this.totals = totals;
    }

    /** Reads the limits of one pool. */
    Limits read(Section section) {
        long maxRequests = readMax(section, Key.LIMITS_REQUESTS_MOST, totals.requests());
        long maxConnections = readMax(section, Key.LIMITS_CONNECTIONS_MOST, totals.connections());
        long maxBodyBytes =
                section.size(
                        Key.LIMITS_BODY_MEMORY_MOST, totals.bodyBytes(), 0, totals.bodyBytes());
        long guaranteedRequests =
                section.integer(
                        Key.LIMITS_REQUESTS_GUARANTEED,
                        defaultGuarantee(totals.requests(), maxRequests),
                        0,
                        maxRequests);
        long guaranteedConnections =
                section.integer(
                        Key.LIMITS_CONNECTIONS_GUARANTEED,
                        defaultGuarantee(totals.connections(), maxConnections),
                        0,
                        maxConnections);
        long guaranteedBodyBytes =
                section.size(
                        Key.LIMITS_BODY_MEMORY_GUARANTEED,
                        defaultGuarantee(totals.bodyBytes(), maxBodyBytes),
                        0,
                        maxBodyBytes);
        return new Limits(
                new QuotaRange(guaranteedRequests, maxRequests),
                new QuotaRange(guaranteedConnections, maxConnections),
                new QuotaRange(guaranteedBodyBytes, maxBodyBytes),
                section.number(Key.LIMITS_LOOP_WEIGHT, 1, MIN_LOOP_WEIGHT, MAX_LOOP_WEIGHT));
    }

    private static long readMax(Section section, Key key, long total) {
        return section.integer(key, total, 1, total);
    }

    private static long defaultGuarantee(long total, long max) {
        return Math.min(max, total / DEFAULT_GUARANTEE_DIVISOR);
    }

    /**
     * Reports, for each resource, the first pool in the order of the file with which the sum of the
     * guarantees exceeds the total.
     *
     * @param sections of the pools, by their names
     */
    void checkGuarantees(Collection<PoolConfig> pools, Map<String, Section> sections) {
        List<Resource> resources =
                List.of(
                        new Resource("calls", totals.requests(), Limits::requests),
                        new Resource("connections", totals.connections(), Limits::connections),
                        new Resource("body memory", totals.bodyBytes(), Limits::bodyBytes));
        resources.forEach(resource -> checkGuarantees(resource, pools, sections));
    }

    private static void checkGuarantees(
            Resource resource, Collection<PoolConfig> pools, Map<String, Section> sections) {
        long sum = 0;
        for (PoolConfig pool : pools) {
            sum += resource.range.apply(pool.limits()).guaranteed();
            if (sum > resource.total) {
                String expected =
                        "guaranteed "
                                + resource.name
                                + " of all pools of no more than "
                                + resource.total;
                sections.get(pool.name()).reportFault("limits", expected, sum + " with this one");
                return;
            }
        }
    }
}
