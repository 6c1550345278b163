package trailthread.degradation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;

/** Levels under readings four times a second. */
final class ControllerDriver {
    static final long STEP = 250_000_000;
    static final List<RequestClass> CLASSES =
            List.of(
                    kind("attempt-use", Idempotency.NOT_IDEMPOTENT, 2),
                    kind("bench-action", Idempotency.IDEMPOTENCY_KEY, 10),
                    kind("bench-state", Idempotency.IDEMPOTENT, 1));

    final DegradationController levels;
    final List<Change> changes = new ArrayList<>();
    private final Map<Reading, Double> values = new EnumMap<>(Reading.class);
    private long now = -17;

    ControllerDriver() {
        this(new DegradationPlan());
    }

    ControllerDriver(DegradationPlan plan) {
        levels = new DegradationController(plan, new SheddingOrder(CLASSES, List.of()));
    }

    static RequestClass kind(String name, Idempotency idempotency, double worth) {
        return new RequestClass(name, 1, 0, 1, idempotency, DeduplicationScope.ALL, 0, worth, 0);
    }

    ControllerDriver set(Reading reading, double value) {
        values.put(reading, value);
        return this;
    }

    ControllerDriver run(double seconds) {
        for (int i = 0; i < seconds * 1e9 / STEP; i++) {
            jump(STEP);
        }
        return this;
    }

    /** One reading after this long. */
    ControllerDriver jump(long ns) {
        now += ns;
        levels.read(
                        new Readings(
                                now,
                                of(Reading.FAILING),
                                of(Reading.REPORT_AGE),
                                of(Reading.LATENESS),
                                of(Reading.DESCRIPTORS),
                                of(Reading.MEMORY),
                                of(Reading.STARVED),
                                of(Reading.CPU_WITHHELD)))
                .ifPresent(changes::add);
        return this;
    }

    private double of(Reading reading) {
        return values.getOrDefault(reading, 0.0);
    }

    String level() {
        return levels.level().name();
    }

    double share(String requestClass) {
        return levels.allowance().share(requestClass, false);
    }
}
