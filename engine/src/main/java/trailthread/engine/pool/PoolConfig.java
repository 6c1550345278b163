package trailthread.engine.pool;

import java.util.List;
import trailthread.api.Idempotency;
import trailthread.api.LoadReportSource;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.api.Tenant;
import trailthread.api.WeightMeaning;

/**
 * The configuration of one pool. A reload of the operator's file keeps a running pool whose
 * configuration has not changed.
 *
 * @param name unique in the process
 * @param profile the protocol of its clients and endpoints
 * @param source where its endpoint list comes from
 * @param placement the position of this node among those that share the endpoints
 * @param classes its request classes; for each {@link RetrySafety} the first one is the default of
 *     plain requests
 * @param tenants the tenants that have a quota
 * @param attemptPolicy how requests are attempted, retried and rejected
 * @param limits the pool's ranges in the quotas that pools share
 */
public record PoolConfig(
        String name,
        Profile profile,
        Source source,
        NodePlacement placement,
        List<ClassConfig> classes,
        List<Tenant> tenants,
        AttemptPolicy attemptPolicy,
        Limits limits) {
    /** The protocol of clients and endpoints. */
    public enum Profile {
        /**
         * Plain HTTP/1.1: the method determines idempotency, headers are forwarded, endpoints may
         * answer with any status.
         */
        PLAIN,
        /**
         * The platform's protocol: class and deadline are in headers of its own; only status 200 is
         * success.
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

        /**
         * A file with a list in the form that a discovery server sends; it may be replaced at any
         * time.
         */
        record ListFile(String path) implements Source {}
    }

    /**
     * The position of this node among those that share the endpoints.
     *
     * @param zone the node's zone; endpoints of other zones cost more by {@link
     *     AttemptPolicy#crossZonePrice}
     * @param index the node's index, from 0
     * @param nodes the number of nodes, 1 or more
     */
    public record NodePlacement(String zone, int index, int nodes) {}

    /** Which requests may be retried (RFC 9110, 9.2). */
    public enum RetrySafety {
        /** Read-only methods. */
        SAFE,
        /** Methods that have the same effect however often they are sent. */
        IDEMPOTENT,
        /** Requests with an {@code Idempotency-Key}. */
        KEYED,
        /** All others: not idempotent. */
        UNSAFE
    }

    /**
     * A request class, and which of its requests may be retried.
     *
     * @param requestClass the settings of the class for the balancer
     */
    public record ClassConfig(RequestClass requestClass, RetrySafety retrySafety) {
        /** Returns the balancer's term, which does not tell safe from idempotent requests. */
        public static Idempotency idempotency(RetrySafety retrySafety) {
            return switch (retrySafety) {
                case SAFE, IDEMPOTENT -> Idempotency.IDEMPOTENT;
                case KEYED -> Idempotency.IDEMPOTENCY_KEY;
                case UNSAFE -> Idempotency.NOT_IDEMPOTENT;
            };
        }
    }

    /**
     * How requests are attempted, retried and rejected; times in ns.
     *
     * @param idleCloseNs how long an endpoint leaves an idle connection open
     * @param drainGraceNs how long new requests may still be sent to an endpoint after it is known
     *     to be draining
     * @param responseSlackNs how long after a client's deadline an answer still counts
     * @param maxRetryAfterNs the longest Retry-After; 0: none is sent
     * @param crossZonePrice the price of an attempt to another zone, as a fraction of the
     *     balancer's objective
     * @param slowStartInitialShare the fraction of its capacity that an endpoint has at the start
     *     of its slow start
     * @param slowStartNs how long the slow start lasts
     */
    public record AttemptPolicy(
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
     * A pool's range in a quota that all pools share.
     *
     * @param guaranteed the amount that the pool can always have
     * @param max the most that the pool can have
     */
    public record QuotaRange(long guaranteed, long max) {}

    /**
     * A pool's ranges in the quotas that pools share.
     *
     * @param requests the range of open requests
     * @param connections the range of connections to the pool's endpoints
     * @param bodyBytes the range of bytes of buffered request bodies
     * @param loopWeight the pool's weight in the division of the loop's time, above 0
     */
    public record Limits(
            QuotaRange requests, QuotaRange connections, QuotaRange bodyBytes, double loopWeight) {}

    public PoolConfig {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /** Returns the settings of the pool's balancer. */
    Settings settings() {
        Settings s = new Settings();
        s.nodeIndex = placement.index();
        s.nodes = placement.nodes();
        s.zone = placement.zone();
        classes.forEach(c -> s.classes.add(c.requestClass()));
        s.tenants.addAll(tenants);
        s.crossZonePrice = attemptPolicy.crossZonePrice();
        s.mayCheckHealth = attemptPolicy.mayCheckHealth();
        s.maxAttempts = attemptPolicy.maxAttempts();
        s.retryAfter = attemptPolicy.maxRetryAfterNs() > 0;
        s.maxRetryAfterNs = attemptPolicy.maxRetryAfterNs();
        s.connectTimeoutNs = attemptPolicy.connectTimeoutNs();
        s.listIsPolled = source instanceof Source.Discovery;
        s.weights = WeightMeaning.NOMINAL;
        s.reports = attemptPolicy.reports();
        s.responseSlackNs = attemptPolicy.responseSlackNs();
        s.slowStartInitialShare = attemptPolicy.slowStartInitialShare();
        s.slowStartNs = attemptPolicy.slowStartNs();
        return s;
    }

    /**
     * Returns the class of a plain request that names none: the first class with this retry safety,
     * else the first class whose requests are not retried.
     *
     * @throws IllegalStateException if there is neither
     */
    public ClassConfig defaultClass(RetrySafety retrySafety) {
        ClassConfig found = firstClass(retrySafety);
        if (found == null) {
            found = firstClass(RetrySafety.UNSAFE);
        }
        if (found == null) {
            throw new IllegalStateException(
                    "pool " + name + " has no class of requests that may not be retried");
        }
        return found;
    }

    private ClassConfig firstClass(RetrySafety retrySafety) {
        for (ClassConfig c : classes) {
            if (c.retrySafety() == retrySafety) {
                return c;
            }
        }
        return null;
    }
}
