package trailthread.degradation;

/**
 * A condition of a level: when one reading enters the level, and when that reading no longer holds
 * it. Bounds are in the reading's unit: a share, or ns.
 *
 * @param enter the level is entered once the reading has been at or over this for {@code holdNs}
 * @param leave under this the reading does not hold the level: above 0 and below {@code enter}, so
 *     that noise does not change the level
 * @param holdNs how long the reading must be at or over {@code enter}, ns. Time between the bounds
 *     does not count; under {@code leave} the count starts again from 0
 */
public record Condition(Reading reading, double enter, double leave, long holdNs) {
    /** Throws an IllegalArgumentException that names the first field out of range. */
    void check(String at) {
        double max = reading.isShare() ? 1 : DegradationPlan.LONGEST_NS;
        DegradationPlan.require(
                enter > 0 && enter <= max, at + ".enter: not in (0, " + (long) max + "]");
        DegradationPlan.require(leave > 0 && leave < enter, at + ".leave: not in (0, enter)");
        DegradationPlan.requireNs(holdNs, 0, at + ".holdNs");
    }
}
