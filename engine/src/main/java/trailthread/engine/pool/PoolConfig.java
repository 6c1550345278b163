package trailthread.engine.pool;

import java.util.List;
import trailthread.api.Idempotency;
import trailthread.api.LoadReportSource;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.api.Tenant;
import trailthread.api.WeightMeaning;

/**
 * All that makes a pool what it is. Equal ones are one pool: a reload keeps a pool whose
 * configuration is equal to the one before.
 *
 * @param name unique in the process
 * @param profile how its clients and endpoints speak
 * @param source where its list of endpoints comes from
 * @param place where this node stands among those that share the endpoints
 * @param classes its classes of calls; for each {@link Repeats} the first one is the default of
 *     plain calls
 * @param tenants those with a quota
 * @param rules what holds for its attempts and refusals
 * @param limits what it may have of what the process has
 */
public record PoolConfig(
        String name,
        Profile profile,
        Source source,
        Place place,
        List<ClassConfig> classes,
        List<Tenant> tenants,
        Rules rules,
        Limits limits) {
    /** How clients and endpoints speak. */
    public enum Profile {
        /**
         * Any HTTP/1.1: methods tell what may be repeated, headers pass, endpoints may answer with
         * any status.
         */
        PLAIN,
        /** The platform's: classes and deadlines in headers of its own, 200 alone is an answer. */
        PLATFORM
    }

    /** Where a list of endpoints comes from. */
    public sealed interface Source {
        /** A roster, watched, at address:port. */
        record Roster(String hostPort) implements Source {}

        /** These endpoints, at address:port, for good. */
        record Fixed(List<String> hostPorts) implements Source {
            public Fixed {
                hostPorts = List.copyOf(hostPorts);
            }
        }

        /** A file that holds what a roster would send; it may be replaced at any moment. */
        record ListFile(String path) implements Source {}
    }

    /**
     * Where this node stands.
     *
     * @param zone its own; endpoints of other zones cost more by {@link Rules#crossZonePrice}
     * @param number from 0 on
     * @param nodes how many share the endpoints, 1 or more
     */
    public record Place(String zone, int number, int nodes) {}

    /** What may be done again. RFC 9110, 9.2; a keyed call carries {@code Idempotency-Key}. */
    public enum Repeats {
        SAFE,
        IDEMPOTENT,
        KEYED,
        UNSAFE
    }

    /** A class of calls, as the decision module has it, and what of it may be done again. */
    public record ClassConfig(RequestClass rules, Repeats repeats) {
        /** What the decision module is to think of calls that may be repeated so. */
        public static Idempotency idempotency(Repeats repeats) {
            return switch (repeats) {
                case SAFE, IDEMPOTENT -> Idempotency.IDEMPOTENT;
                case KEYED -> Idempotency.IDEMPOTENCY_KEY;
                case UNSAFE -> Idempotency.NOT_IDEMPOTENT;
            };
        }
    }

    /**
     * What holds for attempts and refusals; times in ns.
     *
     * @param idleCloseNs how long an endpoint leaves an idle connection open
     * @param drainGraceNs how long after the news of a drain something new may still be sent
     * @param responseSlackNs how far past a client's deadline an answer still counts
     * @param maxRetryAfterNs the longest advice on when to return; 0: none is given
     */
    public record Rules(
            int maxAttempts,
            long connectTimeoutNs,
            long idleCloseNs,
            long drainGraceNs,
            long responseSlackNs,
            long maxRetryAfterNs,
            LoadReportSource reports,
            boolean mayCheckHealth,
            double crossZonePrice,
            double slowStartInitialShare,
            long slowStartNs) {}

    /** Of one thing: what is there for it at all times, and the most that it may have. */
    public record Part(long guaranteed, long most) {}

    /**
     * Its part of what the process has.
     *
     * @param calls open at a time
     * @param connections to its endpoints
     * @param bodyBytes of bodies that clients have sent and that are kept for their attempts
     * @param loopWeight its weight in the division of the one thread's time, above 0
     */
    public record Limits(Part calls, Part connections, Part bodyBytes, double loopWeight) {}

    public PoolConfig {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /** What the decision module is told. */
    Settings settings() {
        Settings s = new Settings();
        s.me = place.number();
        s.nodes = place.nodes();
        s.zone = place.zone();
        classes.forEach(c -> s.classes.add(c.rules()));
        s.tenants.addAll(tenants);
        s.crossZonePrice = rules.crossZonePrice();
        s.mayCheckHealth = rules.mayCheckHealth();
        s.maxAttempts = rules.maxAttempts();
        s.retryAfter = rules.maxRetryAfterNs() > 0;
        s.maxRetryAfterNs = rules.maxRetryAfterNs();
        s.connectTimeoutNs = rules.connectTimeoutNs();
        s.listIsPolled = source instanceof Source.Roster;
        s.weights = WeightMeaning.NOMINAL;
        s.reports = rules.reports();
        s.responseSlackNs = rules.responseSlackNs();
        s.slowStartInitialShare = rules.slowStartInitialShare();
        s.slowStartNs = rules.slowStartNs();
        return s;
    }

    /**
     * The class of a plain call that may be repeated so and names none: the first that is no laxer.
     */
    public ClassConfig defaultClass(Repeats repeats) {
        for (ClassConfig c : classes) {
            if (c.repeats() == repeats) {
                return c;
            }
        }
        for (ClassConfig c : classes) {
            if (c.repeats() == Repeats.UNSAFE) {
                return c;
            }
        }
        throw new IllegalStateException(
                "pool " + name + " has no class of calls that may not be repeated");
    }
}
