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

    private static final List<AcceptedWord<RetrySafety>> RETRY_SAFETY_WORDS =
            List.of(
                    new AcceptedWord<>("safe", RetrySafety.SAFE),
                    new AcceptedWord<>("idempotent", RetrySafety.IDEMPOTENT),
                    new AcceptedWord<>("keyed", RetrySafety.KEYED),
                    new AcceptedWord<>("unsafe", RetrySafety.UNSAFE));

    private static final List<AcceptedWord<DeduplicationScope>> DEDUPLICATION_SCOPES =
            List.of(
                    new AcceptedWord<>("all", DeduplicationScope.ALL),
                    new AcceptedWord<>("zone", DeduplicationScope.ZONE),
                    new AcceptedWord<>("cell", DeduplicationScope.CELL));

    private final Section pool;
    private final Profile profile;
    private final Set<String> names = new HashSet<>();
    private final List<ClassConfig> classes = new ArrayList<>();

    /** The pool's latency objective, the default of its classes. */
    private long defaultObjectiveNs;

    /** The pool's deadline, the default of its classes. */
    private long defaultDeadlineNs;

    /** Creates a reader of a pool's section. */
    ClassesReader(Section pool, Profile profile) {
        this.pool = pool;
        this.profile = profile;
    }

    /** Reads the classes; a plain pool gets the default classes that it does not define. */
    List<ClassConfig> read() {
        defaultObjectiveNs = pool.duration(Key.POOL_LATENCY_OBJECTIVE, 500 * MS, MS, HOUR);
        defaultDeadlineNs = pool.duration(Key.POOL_DEADLINE, 5 * SECOND, MS, HOUR);
        for (Section section : pool.sections("classes", Key.SectionType.CLASS)) {
            classes.add(readClass(section));
        }
        if (profile == Profile.PLAIN) {
            addDefaultClasses();
        } else if (classes.isEmpty()) {
            pool.reportFault("classes", "at least one class, begun with [[...classes]]", "none");
        }
        return classes;
    }

    private ClassConfig readClass(Section section) {
        String name = section.text(Key.CLASS_NAME, NameSyntax.PLACEHOLDER);
        RetrySafety retrySafety =
                section.oneOf(Key.CLASS_REPEATS, RetrySafety.UNSAFE, RETRY_SAFETY_WORDS);
        long deadlineNs = section.duration(Key.CLASS_DEADLINE, defaultDeadlineNs, MS, HOUR);
        DeduplicationScope scope =
                section.oneOf(
                        Key.CLASS_DEDUPLICATION_SCOPE,
                        DeduplicationScope.ALL,
                        DEDUPLICATION_SCOPES);
        if (!NameSyntax.isName(name)) {
            section.reportFault(Key.CLASS_NAME, NameSyntax.NAME_FORMAT);
        }
        if (!names.add(name)) {
            section.reportFault(Key.CLASS_NAME, "a name that no other class of the pool has");
        }
        if (profile == Profile.PLATFORM && retrySafety == RetrySafety.IDEMPOTENT) {
            section.reportFault(
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

    /** Adds classes so that each request of a plain client has a class, whatever its method is. */
    private void addDefaultClasses() {
        int configured = classes.size();
        for (RetrySafety retrySafety : RetrySafety.values()) {
            String name = retrySafety.name().toLowerCase(Locale.ROOT);
            if (!hasClassFor(retrySafety) && names.add(name)) {
                classes.add(defaultClass(name, retrySafety));
            }
        }
        if (!hasClassFor(RetrySafety.UNSAFE)) {
            pool.reportFault(
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
