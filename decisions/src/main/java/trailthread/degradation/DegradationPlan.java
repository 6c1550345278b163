package trailthread.degradation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import trailthread.degradation.DegradationLevel.Reach;

/**
 * The levels and the figures that they share, each with its default. Not to be changed once {@link
 * Levels} has them.
 */
public final class DegradationPlan {
    /** The longest time that any figure may be, ns: an hour. */
    static final long LONGEST_NS = 3_600_000_000_000L;

    private static final long S = 1_000_000_000;
    private static final double MS = 1e6;

    /** From full service to the least; the first has no conditions. */
    public final List<DegradationLevel> levels = new ArrayList<>(defaults());

    /** Readings further apart say nothing of the time between them, ns: the process was stopped. */
    public long gapNs = 2 * S;

    /** After this long without a known value a reading counts as not measured, ns. */
    public long trustNs = 60 * S;

    /**
     * A level that is entered again sooner than this after it was left stays longer than before,
     * ns.
     */
    public long halfLifeNs = 120 * S;

    /** The longest that a level's least stay grows to, ns. */
    public long mostStayNs = 300 * S;

    /**
     * While trouble that shedding relieves goes on, what is left of the reach falls to 1/e in this,
     * ns.
     */
    public long riseNs = 2 * S;

    /**
     * Once it is over, one class less is shed in this time, ns: slowly, as load comes back with it.
     */
    public long overloadWindowNs = 60 * S;

    /**
     * Share of a class that is let through when it is shed. Danger: the decision module tries an
     * ejected worker with a safe call only; were all of those shed, no worker would come back, and
     * the level would stay.
     */
    public double keep = 0.05;

    /** The default levels; docs/levels.md gives them as a table. */
    public static List<DegradationLevel> defaults() {
        DegradationLevel normal = new DegradationLevel("normal", List.of(), 0, 1, Reach.NONE, 0, 1);
        // Probing is widened only where reports cannot be what holds the level: it makes them
        // older.
        DegradationLevel lean =
                new DegradationLevel(
                        "lean",
                        List.of(
                                new Condition(Reading.LATENESS, 50 * MS, 20 * MS, 2 * S),
                                new Condition(Reading.DESCRIPTORS, 0.75, 0.65, 2 * S),
                                new Condition(Reading.MEMORY, 0.85, 0.78, 5 * S),
                                new Condition(Reading.CPU_WITHHELD, 0.2, 0.1, 2 * S)),
                        5 * S,
                        10 * S,
                        Reach.NONE,
                        0,
                        2);
        DegradationLevel reduced =
                new DegradationLevel(
                        "reduced",
                        List.of(
                                new Condition(Reading.FAILING, 0.15, 0.11, S),
                                new Condition(Reading.REPORT_AGE, 3 * S, 1.5 * S, S),
                                new Condition(Reading.LATENESS, 200 * MS, 80 * MS, 2 * S),
                                new Condition(Reading.DESCRIPTORS, 0.9, 0.8, S),
                                new Condition(Reading.MEMORY, 0.92, 0.86, 2 * S),
                                new Condition(Reading.STARVED, 0.05, 0.01, S),
                                new Condition(Reading.CPU_WITHHELD, 0.4, 0.25, 2 * S)),
                        10 * S,
                        20 * S,
                        Reach.SAFE,
                        0,
                        1);
        DegradationLevel essential =
                new DegradationLevel(
                        "essential",
                        List.of(
                                new Condition(Reading.FAILING, 0.5, 0.35, 2 * S),
                                new Condition(Reading.LATENESS, 1000 * MS, 300 * MS, 2 * S),
                                new Condition(Reading.DESCRIPTORS, 0.97, 0.92, S),
                                new Condition(Reading.MEMORY, 0.97, 0.93, 2 * S),
                                new Condition(Reading.STARVED, 0.3, 0.1, 5 * S),
                                new Condition(Reading.CPU_WITHHELD, 0.7, 0.5, 2 * S)),
                        10 * S,
                        30 * S,
                        Reach.ALL_BUT_LAST,
                        0.5,
                        1);
        return List.of(normal, lean, reduced, essential);
    }

    /** Throws an IllegalArgumentException that names the first field out of its range. */
    @SuppressWarnings("ReferenceEquality") // the first element, not one equal to it
    public void check() {
        require(!levels.isEmpty(), "levels: at least one is needed");
        Set<String> names = new HashSet<>();
        for (DegradationLevel l : levels) {
            boolean first = l == levels.get(0);
            require(
                    !l.name().isBlank() && names.add(l.name()),
                    "levels: a name is blank or twice there");
            require(
                    first == l.conditions().isEmpty(),
                    "levels."
                            + l.name()
                            + ": conditions are for all levels but the first, at least one for each");
            require(
                    !first || l.reach() == Reach.NONE,
                    "levels." + l.name() + ".reach: the first sheds nothing");
            l.check();
            require(
                    l.leastStayNs() <= mostStayNs,
                    "levels." + l.name() + ".leastStayNs: above mostStayNs");
        }
        requireNs(gapNs, 1, "gapNs");
        requireNs(trustNs, 1, "trustNs");
        requireNs(halfLifeNs, 1, "halfLifeNs");
        requireNs(mostStayNs, 1, "mostStayNs");
        requireNs(riseNs, 1, "riseNs");
        requireNs(overloadWindowNs, 1, "fallNs");
        require(keep > 0 && keep <= 1, "keep: not in (0, 1]");
    }

    static void requireNs(long ns, long least, String field) {
        require(
                ns >= least && ns <= LONGEST_NS,
                field + ": not in [" + least + ", " + LONGEST_NS + "] ns");
    }

    static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }
}
