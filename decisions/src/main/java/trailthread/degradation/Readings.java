package trailthread.degradation;

/**
 * How a node and its workers fare at one time. Wanted every 0.1 to 0.5 s; {@link
 * DegradationPlan#gapNs} says what is too rare. Values that are NaN or absurd count as unknown, see
 * {@link DegradationController}.
 *
 * @param now ns, monotonic, may start anywhere
 * @param failing share of ready workers that fail at present, 0 to 1; NaN where none is ready
 * @param reportAgeNs how old the load reports are that decisions rest on, ns: the median over the
 *     workers that were sent something of late; NaN or -1 where none are expected
 * @param latenessNs by how much the loop ran later than asked, ns: the most since the last readings
 * @param descriptors share of the descriptors that the node may hold, 0 to 1
 * @param memory share of the memory that it may use, 0 to 1: what was in use after the last
 *     collection, as a heap fills up between two on any good day
 * @param starved share of guarded calls ({@link SheddingOrder#isGuarded}) that lacked a worker of
 *     late, 0 to 1 ({@link DecayingShare} over 10 s): refused, failed, not answered by their
 *     deadline, or first sent to a worker later than a tenth of their aim after they came. Dangers:
 *     calls that an {@link SheddingPolicy} sheds must not be counted, or a level would hold itself;
 *     were answers past their aim counted, slow workers would look like too many calls
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
