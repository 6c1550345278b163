package trailthread.degradation;

import java.util.List;

/**
 * Tracks one level: its conditions, for how long none of them has held the level, and its minimum
 * stay. Times are counted time, see {@link DegradationController}, in ns.
 */
final class LevelTracker {
    private final DegradationLevel level;

    /** How many classes the level may shed at most. */
    private final int maxDepth;

    private final List<ConditionTracker> conditions;
    private final FlapDamping damping;

    /** The conditions that were the last to hold the level. */
    private List<ConditionTracker> lastHolders = List.of();

    /** Whether no condition holds the level. */
    private boolean isClear = true;

    private long clearForNs;

    /** The load, as shown by the readings that shedding relieves. */
    enum Pressure {
        /** One is at or over its enter bound: shed more. */
        HIGH,
        /** Some are between their bounds. */
        STEADY,
        /** All are under their leave bounds: shed less. */
        LOW
    }

    LevelTracker(DegradationLevel level, int maxDepth, DegradationPlan plan) {
        this.level = level;
        this.maxDepth = maxDepth;
        conditions = level.conditions().stream().map(c -> new ConditionTracker(c, plan)).toList();
        damping = new FlapDamping(level.minStayNs(), plan);
    }

    DegradationLevel level() {
        return level;
    }

    /**
     * Updates the level with the latest readings.
     *
     * @param now counted time
     * @param step counted time since the previous readings
     */
    void update(Readings readings, long now, long step) {
        boolean allKnown = true;
        for (ConditionTracker condition : conditions) {
            condition.update(readings, now, step);
            allKnown &= !condition.isUncertain();
        }
        List<ConditionTracker> holding =
                conditions.stream().filter(c -> !c.isBelowLeave()).toList();
        if (!holding.isEmpty()) {
            isClear = false;
            clearForNs = 0;
            lastHolders = holding;
        } else if (allKnown) {
            clearForNs += isClear ? step : 0;
            isClear = true;
        }
    }

    /** Whether any condition enters the level. */
    boolean isDue() {
        return conditions.stream().anyMatch(ConditionTracker::isDue);
    }

    /**
     * Whether all conditions have been under their leave bounds for {@link
     * DegradationLevel#leaveNs}.
     */
    boolean isClearLongEnough() {
        return isClear && clearForNs >= level.leaveNs();
    }

    /** The load, as shown by the readings that shedding relieves. */
    Pressure pressure() {
        boolean allLow = true;
        for (ConditionTracker condition : conditions) {
            if (!condition.isRelievedByShedding()) {
                continue;
            }
            if (condition.isAtEnter()) {
                return Pressure.HIGH;
            }
            allLow &= condition.isBelowLeave();
        }
        return allLow ? Pressure.LOW : Pressure.STEADY;
    }

    /** How many classes the level may shed at most. */
    int maxDepth() {
        return maxDepth;
    }

    /** How many classes the level sheds as soon as it is entered. */
    double entryDepth() {
        return level.minShed() * maxDepth;
    }

    /**
     * The minimum number of classes that the level sheds at present. Once no condition holds the
     * level, this is no more than the level above may shed; otherwise, the level could not be left.
     */
    double minDepth(int maxDepthAbove) {
        return isClear ? Math.min(maxDepthAbove, entryDepth()) : entryDepth();
    }

    /** Records that the level is entered, or skipped on the way to a deeper one. */
    void enter(long now) {
        damping.enter(now);
    }

    /** Records that the level is left for the one above. */
    void leave(long now) {
        damping.leave(now);
    }

    /** How long the level stays in force at least, ns. */
    long minStayNs() {
        return damping.minStayNs();
    }

    /** The conditions that enter the level now. */
    List<Change.Cause> enterCauses() {
        return conditions.stream()
                .filter(ConditionTracker::isDue)
                .map(ConditionTracker::enterCause)
                .toList();
    }

    /** The conditions that were the last to hold the level. */
    List<Change.Cause> leaveCauses() {
        return lastHolders.stream().map(ConditionTracker::leaveCause).toList();
    }
}
