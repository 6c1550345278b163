package trailthread.engine.degradation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import trailthread.api.RequestClass;
import trailthread.degradation.Condition;
import trailthread.degradation.DegradationLevel;
import trailthread.degradation.DegradationPlan;
import trailthread.degradation.Reading;
import trailthread.degradation.SheddingOrder;

/**
 * The configuration of a node's degradation levels; docs/levels.md has the keys.
 *
 * @param plan the levels, and when they are entered and left
 * @param order the order in which request classes are shed
 */
public record DegradationConfig(DegradationPlan plan, SheddingOrder order) {
    private static final String ON = "on";
    private static final String SHED_FIRST = "shed_first";

    /** The length of the list {@link #SHED_FIRST}, which comes with it. */
    private static final String SHED_FIRST_COUNT = SHED_FIRST + ".count";

    private static final double NS_PER_SECOND = 1e9;

    /**
     * Parses the settings by their keys under {@code levels}. The values of a list are joined by
     * commas.
     *
     * @return null if levels are off
     * @throws IllegalArgumentException naming the key that is unknown or whose value is invalid
     */
    public static DegradationConfig parse(Map<String, String> values, List<RequestClass> classes) {
        LevelSettings settings = new LevelSettings(values);
        boolean on = parseOn(settings);
        String shedFirst = settings.text(SHED_FIRST, "");
        settings.ignore(SHED_FIRST_COUNT);
        DegradationPlan plan = parsePlan(settings);
        settings.requireAllRead();
        check(plan);
        SheddingOrder order = parseOrder(shedFirst, classes);
        return on ? new DegradationConfig(plan, order) : null;
    }

    /**
     * Returns every key, with the names of the default plan's levels and of the readings filled in.
     */
    static Set<String> knownKeys() {
        LevelSettings settings = new LevelSettings(Map.of());
        settings.text(ON, "");
        settings.text(SHED_FIRST, "");
        parsePlan(settings);
        return settings.knownKeys();
    }

    private static boolean parseOn(LevelSettings settings) {
        String on = settings.text(ON, "");
        if (!on.equals("true") && !on.equals("false")) {
            throw LevelSettings.invalid(ON, "expected true or false, got '" + on + "'");
        }
        return on.equals("true");
    }

    private static SheddingOrder parseOrder(String shedFirst, List<RequestClass> classes) {
        List<String> names = shedFirst.isEmpty() ? List.of() : List.of(shedFirst.split(","));
        try {
            return new SheddingOrder(classes, names);
        } catch (IllegalArgumentException e) {
            throw LevelSettings.invalid(SHED_FIRST, e.getMessage(), e);
        }
    }

    private static DegradationPlan parsePlan(LevelSettings settings) {
        DegradationPlan plan = new DegradationPlan();
        plan.gapNs = settings.durationNs("gap_s", plan.gapNs);
        plan.trustNs = settings.durationNs("trust_s", plan.trustNs);
        plan.halfLifeNs = settings.durationNs("half_life_s", plan.halfLifeNs);
        plan.maxStayNs = settings.durationNs("most_stay_s", plan.maxStayNs);
        plan.riseNs = settings.durationNs("rise_s", plan.riseNs);
        plan.recoveryNs = settings.durationNs("fall_s", plan.recoveryNs);
        plan.keep = settings.number("keep", plan.keep);
        // The first level is full service, which has no settings.
        for (int i = 1; i < plan.levels.size(); i++) {
            plan.levels.set(i, parseLevel(settings, plan.levels.get(i)));
        }
        return plan;
    }

    private static DegradationLevel parseLevel(
            LevelSettings settings, DegradationLevel defaultLevel) {
        String prefix = defaultLevel.name() + ".";
        return new DegradationLevel(
                defaultLevel.name(),
                parseConditions(settings, prefix, defaultLevel.conditions()),
                settings.durationNs(prefix + "leave_s", defaultLevel.leaveNs()),
                settings.durationNs(prefix + "least_stay_s", defaultLevel.minStayNs()),
                defaultLevel.reach(),
                settings.number(prefix + "least_shed", defaultLevel.minShed()),
                settings.number(prefix + "probe_factor", defaultLevel.probeFactor()));
    }

    private static List<Condition> parseConditions(
            LevelSettings settings, String prefix, List<Condition> defaultConditions) {
        Map<Reading, Condition> defaults = new EnumMap<>(Reading.class);
        defaultConditions.forEach(condition -> defaults.put(condition.reading(), condition));
        List<Condition> conditions = new ArrayList<>();
        for (Reading reading : Reading.values()) {
            Condition condition =
                    parseCondition(
                            settings, prefix + reading.key(), reading, defaults.get(reading));
            if (condition != null) {
                conditions.add(condition);
            }
        }
        return conditions;
    }

    /** Parses the condition on one reading; null if there is neither a setting nor a default. */
    private static Condition parseCondition(
            LevelSettings settings, String key, Reading reading, Condition defaultCondition) {
        Condition defaults =
                defaultCondition == null
                        ? new Condition(reading, Double.NaN, Double.NaN, 0)
                        : defaultCondition;
        double unit = reading.isShare() ? 1 : NS_PER_SECOND;
        int unreadBefore = settings.unreadCount();
        Condition parsed =
                new Condition(
                        reading,
                        unit * settings.number(key + ".enter", defaults.enter() / unit),
                        unit * settings.number(key + ".leave", defaults.leave() / unit),
                        settings.durationNs(key + ".hold_s", defaults.holdNs()));
        boolean given = settings.unreadCount() < unreadBefore;
        return given ? parsed : defaultCondition;
    }

    private static void check(DegradationPlan plan) {
        try {
            plan.check();
        } catch (IllegalArgumentException e) {
            String message = e.getMessage();
            int colon = message.indexOf(':');
            String reason = message.substring(colon + 1).strip();
            throw LevelSettings.invalid(keyOf(message.substring(0, colon)), reason, e);
        }
    }

    /**
     * Returns the key of a field of the plan: {@code lean.leave_s} for {@code levels.lean.leaveNs}.
     */
    private static String keyOf(String field) {
        return field.replaceFirst("^levels\\.", "")
                .replaceAll("([a-z])([A-Z])", "$1_$2")
                .toLowerCase(Locale.ROOT)
                .replaceFirst("_ns$", "_s");
    }
}
