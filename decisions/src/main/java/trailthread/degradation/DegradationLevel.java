package trailthread.degradation;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * A level of service: when it is entered and left, and what it does.
 *
 * @param conditions any of them enters; all must be under their leave bounds to leave
 * @param leaveNs for how long they must
 * @param leastStayNs it is left no sooner than this after the last change, and later where it flaps
 * @param reach which classes it may shed
 * @param leastShed share of its reach that it sheds at once and while any of its conditions holds,
 *     0 to 1; more as trouble goes on
 * @param probeFactor probing periods are multiplied by this
 */
public record DegradationLevel(
        String name,
        List<Condition> conditions,
        long leaveNs,
        long leastStayNs,
        Reach reach,
        double leastShed,
        double probeFactor) {
    private static final double MOST_PROBE_FACTOR = 100;

    /**
     * How far along the order of shedding a level goes; the last class of the order is in no reach.
     */
    public enum Reach {
        /** Nothing is shed. */
        NONE,
        /** From the first class to the last that is safe to repeat. */
        SAFE,
        /** All but the last class. */
        ALL_BUT_LAST
    }

    /** Copies the list. */
    public DegradationLevel {
        conditions = List.copyOf(conditions);
    }

    /** Throws an IllegalArgumentException that names the first field out of its range. */
    void check() {
        String at = "levels." + name;
        Set<Reading> seen = EnumSet.noneOf(Reading.class);
        for (Condition c : conditions) {
            String of = at + "." + c.reading().word();
            DegradationPlan.require(seen.add(c.reading()), of + ": more than one condition");
            c.check(of);
        }
        DegradationPlan.requireNs(leaveNs, 0, at + ".leaveNs");
        DegradationPlan.requireNs(leastStayNs, 1, at + ".leastStayNs");
        DegradationPlan.require(leastShed >= 0 && leastShed <= 1, at + ".leastShed: not in [0, 1]");
        DegradationPlan.require(
                probeFactor >= 1 && probeFactor <= MOST_PROBE_FACTOR,
                at + ".probeFactor: not in [1, " + (int) MOST_PROBE_FACTOR + "]");
    }
}
