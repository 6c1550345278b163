package trailthread.degradation;

/**
 * When a level is entered by one reading, and when that reading no longer holds it.
 *
 * @param enter at or over this the level is being entered
 * @param leave under this it is not held: above 0 and below {@code enter}, so that noise does not
 *     flip it
 * @param holdNs how long the reading must be at or over {@code enter}. In between the bounds that
 *     time stands still, under {@code leave} it begins anew
 */
public record Condition(Reading reading, double enter, double leave, long holdNs) {
    /** Throws an IllegalArgumentException that names the first field out of its range. */
    void check(String at) {
        double most = reading.isShare() ? 1 : DegradationPlan.LONGEST_NS;
        DegradationPlan.require(
                enter > 0 && enter <= most, at + ".enter: not in (0, " + (long) most + "]");
        DegradationPlan.require(leave > 0 && leave < enter, at + ".leave: not in (0, enter)");
        DegradationPlan.requireNs(holdNs, 0, at + ".holdNs");
    }
}
