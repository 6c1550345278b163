package trailthread.degradation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import trailthread.degradation.DegradationLevel.Reach;

/**
 * The levels of service and the parameters that they share, each with its default. Must not be
 * changed once a {@link DegradationController} has been created with it.
 */
public final class DegradationPlan {
    /** The largest value of any time among the parameters, ns: an hour. */
    static final long LONGEST_NS = 3_600_000_000_000L;

    private static final long S = 1_000_000_000;
    private static final double MS = 1e6;

    /** From full service to the least; the first level has no conditions. */
    public final List<DegradationLevel> levels = new ArrayList<>(defaults());

    /**
     * The time between two readings does not count if it is longer than this, ns: the process was
     * stopped in between.
     */
    public long gapNs = 2 * S;

    /** A reading without a known value for longer than this counts as not measured, ns. */
    public long trustNs = 60 * S;

    /**
     * The penalty on a level that is entered again and again halves in this time, ns; see {@link
     * FlapDamping}.
     */
    public long halfLifeNs = 120 * S;

    /** The minimum stay of a level never grows beyond this, ns; see {@link FlapDamping}. */
    public long maxStayNs = 300 * S;

    /**
     * While a reading that shedding relieves is too high, what is not yet shed of the level's reach
     * falls to 1/e in this time, ns; see {@link SheddingDepth}.
     */
    public long riseNs = 2 * S;

    /**
     * Once all such readings are low, one class less is shed in this time, ns. It is long, as load
     * returns with each class.
     */
    public long recoveryNs = 60 * S;

    /**
     * Share of a class's requests that is admitted while the class is shed, above 0. An ejected
     * endpoint is tried again with an idempotent request only: if all of those were shed, no
     * endpoint would return, and the level would stay in force.
     */
    public double keep = 0.05;

    /** The default levels; docs/levels.md gives them as a table. */
    public static List<DegradationLevel> defaults() {
        return List.of(normal(), lean(), reduced(), essential());
    }

    private static DegradationLevel normal() {
        return new DegradationLevel("normal", List.of(), 0, 1, Reach.NONE, 0, 1);
    }

    /**
     * The only level that makes health checks less frequent. That raises the age of load reports,
     * which is a condition of {@link #reduced} but not of this level.
     */
    private static DegradationLevel lean() {
        List<Condition> conditions =
                List.of(
                        new Condition(Reading.LATENESS, 50 * MS, 20 * MS, 2 * S),
                        new Condition(Reading.DESCRIPTORS, 0.75, 0.65, 2 * S),
                        new Condition(Reading.MEMORY, 0.85, 0.78, 5 * S),
                        new Condition(Reading.CPU_WITHHELD, 0.2, 0.1, 2 * S));
        return new DegradationLevel("lean", conditions, 5 * S, 10 * S, Reach.NONE, 0, 2);
    }

    private static DegradationLevel reduced() {
        List<Condition> conditions =
                List.of(
                        new Condition(Reading.FAILING, 0.15, 0.11, S),
                        new Condition(Reading.REPORT_AGE, 3 * S, 1.5 * S, S),
                        new Condition(Reading.LATENESS, 200 * MS, 80 * MS, 2 * S),
                        new Condition(Reading.DESCRIPTORS, 0.9, 0.8, S),
                        new Condition(Reading.MEMORY, 0.92, 0.86, 2 * S),
                        new Condition(Reading.STARVED, 0.05, 0.01, S),
                        new Condition(Reading.CPU_WITHHELD, 0.4, 0.25, 2 * S));
        return new DegradationLevel("reduced", conditions, 10 * S, 20 * S, Reach.SAFE, 0, 1);
    }

    private static DegradationLevel essential() {
        List<Condition> conditions =
                List.of(
                        new Condition(Reading.FAILING, 0.5, 0.35, 2 * S),
                        new Condition(Reading.LATENESS, 1000 * MS, 300 * MS, 2 * S),
                        new Condition(Reading.DESCRIPTORS, 0.97, 0.92, S),
                        new Condition(Reading.MEMORY, 0.97, 0.93, 2 * S),
                        new Condition(Reading.STARVED, 0.3, 0.1, 5 * S),
                        new Condition(Reading.CPU_WITHHELD, 0.7, 0.5, 2 * S));
        return new DegradationLevel(
                "essential", conditions, 10 * S, 30 * S, Reach.ALL_BUT_LAST, 0.5, 1);
    }

    /** Throws an IllegalArgumentException that names the first field out of range. */
    public void check() {
        checkLevels();
        requireNs(gapNs, 1, "gapNs");
        requireNs(trustNs, 1, "trustNs");
        requireNs(halfLifeNs, 1, "halfLifeNs");
        requireNs(maxStayNs, 1, "mostStayNs");
        requireNs(riseNs, 1, "riseNs");
        requireNs(recoveryNs, 1, "fallNs"); // as the key: fall_s
        require(keep > 0 && keep <= 1, "keep: not in (0, 1]");
    }

    private void checkLevels() {
        require(!levels.isEmpty(), "levels: at least one is needed");
        Set<String> names = new HashSet<>();
        for (int i = 0; i < levels.size(); i++) {
            DegradationLevel level = levels.get(i);
            boolean isFirstLevel = i == 0;
            String at = "levels." + level.name();
            require(
                    !level.name().isBlank() && names.add(level.name()),
                    "levels: a name is blank or twice there");
            require(
                    isFirstLevel == level.conditions().isEmpty(),
                    at + ": conditions are for all levels but the first, at least one for each");
            require(
                    !isFirstLevel || level.reach() == Reach.NONE,
                    at + ".reach: the first sheds nothing");
            level.check();
            require(level.minStayNs() <= maxStayNs, at + ".leastStayNs: above mostStayNs");
        }
    }

    /** Requires a time, ns, from {@code min} to {@link #LONGEST_NS}. */
    static void requireNs(long ns, long min, String field) {
        require(
                ns >= min && ns <= LONGEST_NS,
                field + ": not in [" + min + ", " + LONGEST_NS + "] ns");
    }

    /** Throws an IllegalArgumentException with the given message unless the condition holds. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
