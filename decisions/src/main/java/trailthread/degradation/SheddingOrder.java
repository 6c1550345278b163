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
 * The order in which classes of requests are shed. By default: idempotent classes, then those with
 * an idempotency key, then those that must not run twice; among these by priority weight, the
 * lowest first; then as the settings list them. The last class of the order is never shed.
 */
public final class SheddingOrder {
    private final List<String> names = new ArrayList<>();
    private final Map<String, Integer> positions = new HashMap<>();

    /** How many classes are in {@link Reach#SAFE}. */
    private final int idempotentReach;

    /**
     * Creates an order.
     *
     * @param first names of the classes that are shed before all others, in order; may be empty
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
                Comparator.comparingInt((RequestClass c) -> position(first, c.name()))
                        .thenComparing(RequestClass::idempotency)
                        .thenComparingDouble(RequestClass::priorityWeight));
        int idempotentEnd = 0;
        for (RequestClass requestClass : order) {
            positions.put(requestClass.name(), names.size());
            names.add(requestClass.name());
            if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
                idempotentEnd = names.size();
            }
        }
        idempotentReach = Math.min(idempotentEnd, names.size() - 1);
    }

    private static int position(List<String> first, String name) {
        int position = first.indexOf(name);
        return position < 0 ? first.size() : position;
    }

    /** The names of the classes in the order in which they are shed. */
    public List<String> names() {
        return List.copyOf(names);
    }

    /**
     * Whether a class is not in {@link Reach#SAFE}. The classes in that reach are shed so that the
     * classes outside are served.
     */
    public boolean isOutsideSafeReach(String name) {
        return position(name) >= idempotentReach;
    }

    /** The position of a class in the order, from 0; -1 for a name that no class has. */
    int position(String name) {
        return positions.getOrDefault(name, -1);
    }

    /** How many classes a level of this reach may shed. */
    int classesIn(Reach reach) {
        return switch (reach) {
            case NONE -> 0;
            case SAFE -> idempotentReach;
            case ALL_BUT_LAST -> names.size() - 1;
        };
    }
}
