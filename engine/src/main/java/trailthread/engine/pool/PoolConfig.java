package trailthread.engine.pool;

import java.util.List;
import trailthread.api.Idempotency;
import trailthread.api.LoadReportSource;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.api.Tenant;
import trailthread.api.WeightMeaning;

/**
 * The configuration of one pool. A reload keeps a pool whose configuration is equal to the one
 * before.
 *
 * @param name unique in the process
 * @param profile the protocol of its clients and endpoints
 * @param source where its endpoint list comes from
 * @param place this node among those that share the endpoints
 * @param classes its request classes; for each {@link Repeats} the first one is the default of
 *     plain requests
 * @param tenants those with a quota
 * @param rules for its attempts and rejections
 * @param limits its parts of the quotas that pools share
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
    /** The protocol of clients and endpoints. */
    public enum Profile {
        /**
         * Any HTTP/1.1: the method determines idempotency, headers are forwarded, endpoints may
         * answer with any status.
         */
        PLAIN,
        /**
         * The platform's: class and deadline are in its own headers; only status 200 is success.
         */
        PLATFORM
    }

    /** Where an endpoint list comes from. */
    public sealed interface Source {
        /** A discovery server at address:port, which is watched. */
        record Discovery(String hostPort) implements Source {}

        /** A fixed list of endpoints, each at address:port. */
        record Fixed(List<String> hostPorts) implements Source {
            public Fixed {
                hostPorts = List.copyOf(hostPorts);
            }
        }

        /** A file with what a discovery server would send; it may be replaced at any time. */
        record ListFile(String path) implements Source {}
    }

    /**
     * This node among those that share the endpoints.
     *
     * @param zone its own; endpoints of other zones cost more by {@link Rules#crossZonePrice}
     * @param number its own, from 0
     * @param nodes how many there are, 1 or more
     */
    public record Place(String zone, int number, int nodes) {}

    /** Which requests may be retried (RFC 9110, 9.2). */
    public enum Repeats {
        /** Read-only methods. */
        SAFE,
        /** Methods that have the same effect however often they are sent. */
        IDEMPOTENT,
        /** Requests with an {@code Idempotency-Key}. */
        KEYED,
        /** All others: not idempotent. */
        UNSAFE
    }

    /** A request class, as the balancer has it, and which of its requests may be retried. */
    public record ClassConfig(RequestClass rules, Repeats repeats) {
        /** The same for the balancer, which does not tell safe from idempotent requests. */
        public static Idempotency idempotency(Repeats repeats) {
            return switch (repeats) {
                case SAFE, IDEMPOTENT -> Idempotency.IDEMPOTENT;
                case KEYED -> Idempotency.IDEMPOTENCY_KEY;
                case UNSAFE -> Idempotency.NOT_IDEMPOTENT;
            };
        }
    }

    /**
     * Rules for attempts and rejections; times in ns.
     *
     * @param idleCloseNs how long an endpoint leaves an idle connection open
     * @param drainGraceNs how long new requests may still be sent after an endpoint is known to be
     *     draining
     * @param responseSlackNs how far past a client's deadline an answer still counts
     * @param maxRetryAfterNs the longest Retry-After; 0: none is sent
     * @param crossZonePrice of an attempt to another zone, as a fraction of the balancer's
     *     objective
     * @param slowStartInitialShare the fraction of its capacity that an endpoint has at the start
     *     of its slow start
     * @param slowStartNs how long the slow start lasts
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

    /**
     * A pool's part of one quota.
     *
     * @param guaranteed the amount that it can always have
     * @param most its limit
     */
    public record Part(long guaranteed, long most) {}

    /**
     * Its parts of the quotas that pools share.
     *
     * @param calls requests open at a time
     * @param connections to its endpoints
     * @param bodyBytes of request bodies that are buffered
     * @param loopWeight its weight in the division of the loop's time, above 0
     */
    public record Limits(Part calls, Part connections, Part bodyBytes, double loopWeight) {}

    public PoolConfig {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /** The settings of its balancer. */
    Settings settings() {
        Settings s = new Settings();
        s.nodeIndex = place.number();
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
        s.listIsPolled = source instanceof Source.Discovery;
        s.weights = WeightMeaning.NOMINAL;
        s.reports = rules.reports();
        s.responseSlackNs = rules.responseSlackNs();
        s.slowStartInitialShare = rules.slowStartInitialShare();
        s.slowStartNs = rules.slowStartNs();
        return s;
    }

    /**
     * The class of a plain request that names none: the first for these repeats, else the first
     * whose requests are not retried.
     *
     * @throws IllegalStateException if there is neither
     */
    public ClassConfig defaultClass(Repeats repeats) {
        ClassConfig found = firstClass(repeats);
        if (found == null) {
            found = firstClass(Repeats.UNSAFE);
        }
        if (found == null) {
            throw new IllegalStateException(
                    "pool " + name + " has no class of requests that may not be retried");
        }
        return found;
    }

    private ClassConfig firstClass(Repeats repeats) {
        for (ClassConfig c : classes) {
            if (c.repeats() == repeats) {
                return c;
            }
        }
        return null;
    }
}
