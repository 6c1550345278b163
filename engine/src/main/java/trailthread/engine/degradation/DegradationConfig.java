package trailthread.engine.degradation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import trailthread.api.RequestClass;
import trailthread.degradation.Condition;
import trailthread.degradation.DegradationLevel;
import trailthread.degradation.DegradationPlan;
import trailthread.degradation.Reading;
import trailthread.degradation.SheddingOrder;

/** What a node is told of its levels of service; docs/levels.md names the keys. */
public record DegradationConfig(DegradationPlan plan, SheddingOrder order) {
    private static final String KEY = "levels";
    private static final String SHED_FIRST = "shed_first";
    private static final String ON = "on";
    private static final double NS = 1e9;

    /** The values left to be read, by path, and what is looked for. */
    private static final class Keys {
        final Map<String, String> left;
        final Set<String> known = new TreeSet<>();

        Keys(Map<String, String> values) {
            left = new HashMap<>(values);
        }

        String text(String key, String byDefault) {
            known.add(key);
            String value = left.remove(key);
            return value == null ? byDefault : value;
        }

        double number(String key, double byDefault) {
            String value = text(key, null);
            try {
                return value == null ? byDefault : Double.parseDouble(value);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(
                        KEY + "." + key + ": expected a number, got '" + value + "'");
            }
        }

        /** Seconds; what is out of range stays so as nanoseconds. */
        long ns(String key, long byDefault) {
            double seconds = number(key, byDefault / NS);
            return Double.isNaN(seconds) ? -1 : Math.round(seconds * NS);
        }
    }

    /**
     * Reads the values by their paths under {@code levels}; plain lists are joined by commas.
     *
     * @return null where levels are off
     * @throws IllegalArgumentException naming the key that is unknown or out of its range
     */
    public static DegradationConfig parse(Map<String, String> values, List<RequestClass> classes) {
        Keys keys = new Keys(values);
        String on = keys.text(ON, "");
        if (!on.equals("true") && !on.equals("false")) {
            throw new IllegalArgumentException(
                    KEY + "." + ON + ": expected true or false, got '" + on + "'");
        }
        String first = keys.text(SHED_FIRST, "");
        keys.left.remove(SHED_FIRST + ".count");
        DegradationPlan plan = plan(keys);
        if (!keys.left.isEmpty()) {
            throw new IllegalArgumentException(
                    KEY + "." + new TreeSet<>(keys.left.keySet()).first() + ": no such key");
        }
        try {
            plan.check();
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(named(e.getMessage()), e);
        }
        SheddingOrder order;
        try {
            order =
                    new SheddingOrder(
                            classes, first.isEmpty() ? List.of() : List.of(first.split(",")));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(KEY + "." + SHED_FIRST + ": " + e.getMessage(), e);
        }
        return on.equals("true") ? new DegradationConfig(plan, order) : null;
    }

    /** Every key, with the defaults' levels and readings in it. */
    static Set<String> known() {
        Keys keys = new Keys(Map.of());
        keys.text(ON, "");
        keys.text(SHED_FIRST, "");
        plan(keys);
        return keys.known;
    }

    private static DegradationPlan plan(Keys keys) {
        DegradationPlan plan = new DegradationPlan();
        plan.gapNs = keys.ns("gap_s", plan.gapNs);
        plan.trustNs = keys.ns("trust_s", plan.trustNs);
        plan.halfLifeNs = keys.ns("half_life_s", plan.halfLifeNs);
        plan.mostStayNs = keys.ns("most_stay_s", plan.mostStayNs);
        plan.riseNs = keys.ns("rise_s", plan.riseNs);
        plan.overloadWindowNs = keys.ns("fall_s", plan.overloadWindowNs);
        plan.keep = keys.number("keep", plan.keep);
        for (int i = 1;
                i < plan.levels.size();
                i++) { // the first does nothing, and is held by nothing
            plan.levels.set(i, level(keys, plan.levels.get(i)));
        }
        return plan;
    }

    private static DegradationLevel level(Keys keys, DegradationLevel l) {
        Map<Reading, Condition> byReading = new EnumMap<>(Reading.class);
        l.conditions().forEach(c -> byReading.put(c.reading(), c));
        List<Condition> conditions = new ArrayList<>();
        for (Reading reading : Reading.values()) {
            String at = l.name() + "." + reading.word();
            Condition told = condition(keys, at, reading, byReading.get(reading));
            if (told != null) {
                conditions.add(told);
            }
        }
        String at = l.name() + ".";
        return new DegradationLevel(
                l.name(),
                conditions,
                keys.ns(at + "leave_s", l.leaveNs()),
                keys.ns(at + "least_stay_s", l.leastStayNs()),
                l.reach(),
                keys.number(at + "least_shed", l.leastShed()),
                keys.number(at + "probe_factor", l.probeFactor()));
    }

    /** The condition by this reading, or null: the level has none. */
    private static Condition condition(Keys keys, String at, Reading reading, Condition byDefault) {
        double unit = reading.isShare() ? 1 : NS;
        Condition or =
                byDefault == null ? new Condition(reading, Double.NaN, Double.NaN, 0) : byDefault;
        int before = keys.left.size();
        Condition told =
                new Condition(
                        reading,
                        unit * keys.number(at + ".enter", or.enter() / unit),
                        unit * keys.number(at + ".leave", or.leave() / unit),
                        keys.ns(at + ".hold_s", or.holdNs()));
        return keys.left.size() < before ? told : byDefault;
    }

    /** A complaint of the plan, with the key in place of the field. */
    private static String named(String complaint) {
        int colon = complaint.indexOf(':');
        String field = complaint.substring(0, colon).replaceFirst("^levels\\.", "");
        String key =
                field.replaceAll("([a-z])([A-Z])", "$1_$2")
                        .toLowerCase(Locale.ROOT)
                        .replaceFirst("_ns$", "_s");
        return KEY + "." + key + complaint.substring(colon);
    }
}
