package trailthread.degradation;

/**
 * The state of a node and its endpoints at one time. To be taken every 0.1 to 0.5 s; the time
 * between readings that are more than {@link DegradationPlan#gapNs} apart does not count. Values
 * that are NaN or out of their range count as unknown, see {@link DegradationController}.
 *
 * @param now time, ns of a monotonic clock that may start anywhere
 * @param failing share of ready endpoints that fail at present, 0 to 1; NaN where none is ready
 * @param reportAgeNs the age of the load reports that decisions are based on, ns: the median over
 *     the endpoints that were sent a request recently; NaN or -1 where none are expected
 * @param latenessNs the most by which a timer of the I/O thread ran late since the last readings,
 *     ns
 * @param descriptors share of the descriptors that the node may hold, 0 to 1
 * @param memory share of the memory that the node may use, 0 to 1: what was in use after the last
 *     garbage collection, as a heap always fills up between two
 * @param starved recent share of requests outside the safe reach ({@link
 *     SheddingOrder#isOutsideSafeReach}) that lacked an endpoint, 0 to 1 ({@link DecayingShare}
 *     over 10 s): rejected, failed, not answered by their deadline, or first sent to an endpoint
 *     later than a tenth of their latency objective after they arrived. Requests that a {@link
 *     SheddingPolicy} sheds must not be counted, as a level would then keep itself in force; nor
 *     late responses, as slow endpoints would then look like too many requests
 * @param cpuWithheld share of the time in which the node wanted CPU and got none, 0 to 1
 */
public record Readings(
        long now,
        double failing,
        double reportAgeNs,
        double latenessNs,
        double descriptors,
        double memory,
        double starved,
        double cpuWithheld) {}
