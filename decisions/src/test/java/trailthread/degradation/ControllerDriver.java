package trailthread.degradation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;

/** Passes readings to a controller four times a second, and records the changes of level. */
final class ControllerDriver {
    static final long STEP_NS = 250_000_000;
    static final List<RequestClass> CLASSES =
            List.of(
                    requestClass("attempt-use", Idempotency.NOT_IDEMPOTENT, 2),
                    requestClass("bench-action", Idempotency.IDEMPOTENCY_KEY, 10),
                    requestClass("bench-state", Idempotency.IDEMPOTENT, 1));

    final DegradationController controller;
    final List<Change> changes = new ArrayList<>();
    private final Map<Reading, Double> values = new EnumMap<>(Reading.class);
    private long now = -17;

    ControllerDriver() {
        this(new DegradationPlan());
    }

    ControllerDriver(DegradationPlan plan) {
        controller = new DegradationController(plan, new SheddingOrder(CLASSES, List.of()));
    }

    static RequestClass requestClass(String name, Idempotency idempotency, double priorityWeight) {
        return new RequestClass(
                name, 1, 0, 1, idempotency, DeduplicationScope.ALL, 0, priorityWeight, 0);
    }

    /** Sets the value of a reading from now on. */
    ControllerDriver set(Reading reading, double value) {
        values.put(reading, value);
        return this;
    }

    /** Passes readings for a time. */
    ControllerDriver run(double seconds) {
        for (int i = 0; i < seconds * 1e9 / STEP_NS; i++) {
            step(STEP_NS);
        }
        return this;
    }

    /** Passes one set of readings after a time, ns; if it is negative, the clock runs backwards. */
    ControllerDriver step(long ns) {
        now += ns;
        controller
                .update(
                        new Readings(
                                now,
                                value(Reading.FAILING),
                                value(Reading.REPORT_AGE),
                                value(Reading.LATENESS),
                                value(Reading.DESCRIPTORS),
                                value(Reading.MEMORY),
                                value(Reading.STARVED),
                                value(Reading.CPU_WITHHELD)))
                .ifPresent(changes::add);
        return this;
    }

    private double value(Reading reading) {
        return values.getOrDefault(reading, 0.0);
    }

    /** The name of the level in force. */
    String level() {
        return controller.level().name();
    }

    /** The share of a class that is admitted at present. */
    double share(String requestClass) {
        return controller.sheddingPolicy().share(requestClass, false);
    }
}
