package trailthread.degradation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.degradation.DegradationLevel.Reach;

/**
 * Which classes are shed first. The default: what is safe to repeat before what repeats are dropped
 * of, before what must not run twice; in these, the least worth first; in that, as the settings
 * list them. The last of the order is never shed.
 */
public final class SheddingOrder {
    private final List<String> names = new ArrayList<>();
    private final Map<String, Integer> places = new HashMap<>();
    private final int safe;

    /**
     * Makes an order.
     *
     * @param first names that go before all others, in order; may be empty
     * @throws IllegalArgumentException for a name that no class has, or that is given twice
     */
    public SheddingOrder(List<RequestClass> classes, List<String> first) {
        DegradationPlan.require(!classes.isEmpty(), "classes: at least one is needed");
        DegradationPlan.require(
                new HashSet<>(first).size() == first.size(), "shed order: a name is twice there");
        for (String name : first) {
            DegradationPlan.require(
                    classes.stream().anyMatch(c -> c.name().equals(name)),
                    "shed order: no class is named " + name);
        }
        List<RequestClass> order = new ArrayList<>(classes);
        order.sort(
                Comparator.comparingInt((RequestClass c) -> place(first, c.name()))
                        .thenComparing(RequestClass::idempotency)
                        .thenComparingDouble(RequestClass::priorityWeight));
        int lastSafe = -1;
        for (RequestClass c : order) {
            places.put(c.name(), names.size());
            lastSafe = c.idempotency() == Idempotency.IDEMPOTENT ? names.size() : lastSafe;
            names.add(c.name());
        }
        safe = Math.min(lastSafe + 1, names.size() - 1);
    }

    private static int place(List<String> first, String name) {
        int place = first.indexOf(name);
        return place < 0 ? first.size() : place;
    }

    /** The classes' names, the first to be shed first. */
    public List<String> names() {
        return List.copyOf(names);
    }

    /** Whether a class is past the reach {@link Reach#SAFE}: what the others are shed for. */
    public boolean isGuarded(String name) {
        return place(name) >= safe;
    }

    /** Its place, or -1 for a name that no class has. */
    int place(String name) {
        return places.getOrDefault(name, -1);
    }

    /** How many classes a level of this reach may shed. */
    int count(Reach reach) {
        return switch (reach) {
            case NONE -> 0;
            case SAFE -> safe;
            case ALL_BUT_LAST -> names.size() - 1;
        };
    }
}
