package trailthread.degradation;

/**
 * Tracks one condition of a level: on which side of its two bounds the reading is, and for how long
 * it has been at or over the enter bound. Times are counted time, see {@link
 * DegradationController}, in ns.
 */
final class ConditionTracker {
    private final Condition condition;
    private final DegradationPlan plan;

    /** The last known value. */
    private double value;

    /** The band of the last known value. */
    private Band band = Band.BELOW_LEAVE;

    /** Whether the latest readings held a value. */
    private boolean known;

    /**
     * Whether a value was known within {@link DegradationPlan#trustNs}. A reading that can no
     * longer be measured must not hold a level for ever.
     */
    private boolean measured;

    private long knownAt;
    private long atEnterForNs;

    /** The position of a value relative to the bounds of the condition. */
    private enum Band {
        BELOW_LEAVE,
        BETWEEN,
        AT_ENTER
    }

    ConditionTracker(Condition condition, DegradationPlan plan) {
        this.condition = condition;
        this.plan = plan;
    }

    /**
     * Updates the condition with the latest readings.
     *
     * @param now counted time
     * @param step counted time since the previous readings
     */
    void update(Readings readings, long now, long step) {
        double latest = condition.reading().valueIn(readings);
        known = !Double.isNaN(latest);
        if (known) {
            updateKnown(latest, now, step);
        } else if (now - knownAt > plan.trustNs) {
            measured = false;
            band = Band.BELOW_LEAVE;
            atEnterForNs = 0;
        }
    }

    private void updateKnown(double latest, long now, long step) {
        Band before = band;
        value = latest;
        band = bandOf(latest);
        measured = true;
        knownAt = now;
        if (band == Band.BELOW_LEAVE) {
            atEnterForNs = 0;
        } else if (band == Band.AT_ENTER && before == Band.AT_ENTER) {
            atEnterForNs += step;
        }
    }

    private Band bandOf(double latest) {
        if (latest >= condition.enter()) {
            return Band.AT_ENTER;
        }
        return latest < condition.leave() ? Band.BELOW_LEAVE : Band.BETWEEN;
    }

    /** Whether the reading has been at or over the enter bound for {@link Condition#holdNs}. */
    boolean isDue() {
        return isAtEnter() && atEnterForNs >= condition.holdNs();
    }

    /** Whether the reading is known to be at or over the enter bound now. */
    boolean isAtEnter() {
        return known && band == Band.AT_ENTER;
    }

    /** Whether the reading was last known under the leave bound, or is not measured. */
    boolean isBelowLeave() {
        return band == Band.BELOW_LEAVE;
    }

    /** Whether the reading is measured, but has no value in the latest readings. */
    boolean isUncertain() {
        return measured && !known;
    }

    /** Whether shedding load lowers the reading. */
    boolean isRelievedByShedding() {
        return condition.reading().isRelievedByShedding();
    }

    /** This condition as the cause of entering its level. */
    Change.Cause enterCause() {
        return new Change.Cause(condition.reading(), value, condition.enter());
    }

    /** This condition as the cause of having held its level until now. */
    Change.Cause leaveCause() {
        double shown = measured ? value : Double.NaN;
        return new Change.Cause(condition.reading(), shown, condition.leave());
    }
}
