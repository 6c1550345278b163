package trailthread.configuration;

import static trailthread.configuration.Units.HOUR;
import static trailthread.configuration.Units.MS;
import static trailthread.configuration.Units.SECOND;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import trailthread.api.DeduplicationScope;
import trailthread.api.RequestClass;
import trailthread.engine.pool.PoolConfig.ClassConfig;
import trailthread.engine.pool.PoolConfig.Profile;
import trailthread.engine.pool.PoolConfig.RetrySafety;

/** Reads the request classes of one pool. */
final class ClassesReader {
    private static final double DEFAULT_PRIORITY_WEIGHT = 1;
    private static final double MAX_PRIORITY_WEIGHT = 1e9;
    private static final double DEFAULT_LATE_WEIGHT_SHARE = 0.5;

    private static final List<Choice<RetrySafety>> RETRY_SAFETY_CHOICES =
            List.of(
                    new Choice<>("safe", RetrySafety.SAFE),
                    new Choice<>("idempotent", RetrySafety.IDEMPOTENT),
                    new Choice<>("keyed", RetrySafety.KEYED),
                    new Choice<>("unsafe", RetrySafety.UNSAFE));

    private static final List<Choice<DeduplicationScope>> DEDUPLICATION_SCOPES =
            List.of(
                    new Choice<>("all", DeduplicationScope.ALL),
                    new Choice<>("zone", DeduplicationScope.ZONE),
                    new Choice<>("cell", DeduplicationScope.CELL));

    private final Section pool;
    private final Profile profile;
    private final Set<String> names = new HashSet<>();
    private final List<ClassConfig> classes = new ArrayList<>();

    /** The pool's defaults for its classes, in nanoseconds. */
    private long defaultObjectiveNs;

    private long defaultDeadlineNs;

    /** Makes a reader of a pool's section. */
    ClassesReader(Section pool, Profile profile) {
        this.pool = pool;
        this.profile = profile;
    }

    /** Reads the classes; a plain pool gets the default classes that it does not define. */
    List<ClassConfig> read() {
        defaultObjectiveNs = pool.duration(Key.POOL_LATENCY_OBJECTIVE, 500 * MS, MS, HOUR);
        defaultDeadlineNs = pool.duration(Key.POOL_DEADLINE, 5 * SECOND, MS, HOUR);
        for (Section section : pool.sections("classes", Key.Part.CLASS)) {
            classes.add(read(section));
        }
        if (profile == Profile.PLAIN) {
            addDefaults();
        } else if (classes.isEmpty()) {
            pool.fault("classes", "at least one class, begun with [[...classes]]", "none");
        }
        return classes;
    }

    private ClassConfig read(Section section) {
        String name = section.text(Key.CLASS_NAME, Names.UNNAMED);
        RetrySafety retrySafety =
                section.choice(Key.CLASS_REPEATS, RetrySafety.UNSAFE, RETRY_SAFETY_CHOICES);
        long deadlineNs = section.duration(Key.CLASS_DEADLINE, defaultDeadlineNs, MS, HOUR);
        DeduplicationScope scope =
                section.choice(
                        Key.CLASS_DEDUPLICATION_SCOPE,
                        DeduplicationScope.ALL,
                        DEDUPLICATION_SCOPES);
        if (!Names.isName(name)) {
            section.fault(Key.CLASS_NAME, Names.EXPECTED);
        }
        if (!names.add(name)) {
            section.fault(Key.CLASS_NAME, "a name that no other class of the pool has");
        }
        if (profile == Profile.PLATFORM && retrySafety == RetrySafety.IDEMPOTENT) {
            section.fault(
                    Key.CLASS_REPEATS, "safe, keyed or unsafe, as the platform knows no others");
        }
        long objectiveNs =
                section.duration(Key.CLASS_LATENCY_OBJECTIVE, defaultObjectiveNs, MS, HOUR);
        RequestClass requestClass =
                new RequestClass(
                        name,
                        Math.min(deadlineNs, objectiveNs),
                        0,
                        deadlineNs,
                        ClassConfig.idempotency(retrySafety),
                        scope,
                        section.duration(Key.CLASS_DEDUPLICATION_WINDOW, deadlineNs, 0, HOUR),
                        section.number(
                                Key.CLASS_PRIORITY_WEIGHT,
                                DEFAULT_PRIORITY_WEIGHT,
                                0,
                                MAX_PRIORITY_WEIGHT),
                        section.number(
                                Key.CLASS_LATE_WEIGHT_SHARE, DEFAULT_LATE_WEIGHT_SHARE, 0, 1));
        return new ClassConfig(requestClass, retrySafety);
    }

    /** Adds classes so that each request of a plain client has one, whatever its method is. */
    private void addDefaults() {
        int configured = classes.size();
        for (RetrySafety retrySafety : RetrySafety.values()) {
            String name = retrySafety.name().toLowerCase(Locale.ROOT);
            if (!hasClassFor(retrySafety) && names.add(name)) {
                classes.add(defaultClass(name, retrySafety));
            }
        }
        if (!hasClassFor(RetrySafety.UNSAFE)) {
            pool.fault(
                    "classes",
                    "a class for calls that may not be repeated: the name unsafe is taken by another",
                    configured + " classes");
        }
    }

    private boolean hasClassFor(RetrySafety retrySafety) {
        return classes.stream().anyMatch(config -> config.retrySafety() == retrySafety);
    }

    private ClassConfig defaultClass(String name, RetrySafety retrySafety) {
        RequestClass requestClass =
                new RequestClass(
                        name,
                        Math.min(defaultObjectiveNs, defaultDeadlineNs),
                        0,
                        defaultDeadlineNs,
                        ClassConfig.idempotency(retrySafety),
                        DeduplicationScope.ALL,
                        defaultDeadlineNs,
                        DEFAULT_PRIORITY_WEIGHT,
                        DEFAULT_LATE_WEIGHT_SHARE);
        return new ClassConfig(requestClass, retrySafety);
    }
}
