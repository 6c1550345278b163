package trailthread.degradation;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * A level of service: when it is entered and left, and what it does.
 *
 * @param conditions any of them enters the level; all must be under their leave bounds to leave it
 * @param leaveNs for how long all conditions must be under their leave bounds, ns
 * @param minStayNs the level is left no sooner than this after the last change, ns, and later if
 *     the level flaps ({@link FlapDamping})
 * @param reach which classes the level may shed
 * @param minShed share of the classes in its reach that the level sheds on entry and while any of
 *     its conditions holds, 0 to 1; more is shed while a reading that shedding relieves stays too
 *     high
 * @param probeFactor the periods of health checks are multiplied by this, 1 to 100
 */
public record DegradationLevel(
        String name,
        List<Condition> conditions,
        long leaveNs,
        long minStayNs,
        Reach reach,
        double minShed,
        double probeFactor) {
    private static final double MAX_PROBE_FACTOR = 100;

    /**
     * Which classes of the shedding order a level may shed; no reach includes the last class of the
     * order.
     */
    public enum Reach {
        /** Nothing is shed. */
        NONE,
        /** From the first class to the last that is idempotent. */
        SAFE,
        /** All but the last class. */
        ALL_BUT_LAST
    }

    /** Copies the conditions. */
    public DegradationLevel {
        conditions = List.copyOf(conditions);
    }

    /** Throws an IllegalArgumentException that names the first field out of range. */
    void check() {
        String at = "levels." + name;
        Set<Reading> seen = EnumSet.noneOf(Reading.class);
        for (Condition condition : conditions) {
            Reading reading = condition.reading();
            String conditionAt = at + "." + reading.key();
            DegradationPlan.require(seen.add(reading), conditionAt + ": more than one condition");
            condition.check(conditionAt);
        }
        DegradationPlan.requireNs(leaveNs, 0, at + ".leaveNs");
        DegradationPlan.requireNs(minStayNs, 1, at + ".leastStayNs");
        DegradationPlan.require(minShed >= 0 && minShed <= 1, at + ".leastShed: not in [0, 1]");
        DegradationPlan.require(
                probeFactor >= 1 && probeFactor <= MAX_PROBE_FACTOR,
                at + ".probeFactor: not in [1, " + (int) MAX_PROBE_FACTOR + "]");
    }
}
