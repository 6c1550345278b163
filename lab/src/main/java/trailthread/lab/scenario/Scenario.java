package trailthread.lab.scenario;

import java.util.List;
import trailthread.api.RequestClass;
import trailthread.api.Tenant;
import trailthread.lab.model.ServerLimits;

/**
 * A scenario: the clients and their requests, the servers, the network, discovery and the scheduled
 * faults. Times are in ns from the start of the run.
 *
 * @param description one line, shown to users
 * @param warmUpNs client operations that start before this time are left out of the totals
 * @param zones at least one; nodes, clients and servers are spread evenly over them
 */
public record Scenario(
        String name,
        String description,
        long durationNs,
        long warmUpNs,
        int nodes,
        List<String> zones,
        List<ClassModel> classes,
        List<Tenant> tenants,
        ClientModel clients,
        NetworkModel network,
        FleetModel fleet,
        DiscoveryModel discovery,
        NodeRules rules,
        List<ScheduledFault> faults) {

    /** The distribution that a request's work is drawn from. */
    public enum WorkDistribution {
        FIXED,
        UNIFORM,
        EXPONENTIAL
    }

    /**
     * A class of requests.
     *
     * @param share this class's share of all operations, relative to the shares of the other
     *     classes
     * @param lowWorkNs the least work on a standard core; the mean of an exponential distribution
     * @param highWorkNs the most work of a uniform distribution
     */
    public record ClassModel(
            RequestClass requestClass,
            double share,
            WorkDistribution distribution,
            double lowWorkNs,
            double highWorkNs) {
        /** The mean work, in ns on a standard core. */
        public double meanWorkNs() {
            return distribution == WorkDistribution.UNIFORM
                    ? (lowWorkNs + highWorkNs) / 2
                    : lowWorkNs;
        }
    }

    /**
     * A period in which the request rate is {@code rateFactor} times the usual rate. Many clients
     * that start at the same moment are modelled as a short surge with a large factor.
     */
    public record Surge(long startNs, long durationNs, double rateFactor) {}

    /**
     * Clients: an open loop with Poisson arrivals.
     *
     * @param perSecond operations started per second, over all nodes
     * @param swingPeriodNs the period of a sinusoidal variation of the rate; 0 for a constant rate
     * @param swingDepth the amplitude of that variation as a share of the rate, 0 to 1
     * @param retries the most retries that a client sends after its first attempt
     * @param backoffNs the wait before the first retry, doubled for each further retry; the actual
     *     wait is drawn uniformly from half of this to all of it
     * @param honorsRetryAfter whether a client waits as long as the Retry-After of a rejection says
     * @param timeoutShareLow the least client timeout of an attempt, as a share of the class's
     *     deadline
     * @param timeoutShareHigh the greatest client timeout, as a share of the class's deadline
     * @param keyCount the number of distinct keys that requests carry; 0 for requests without keys
     */
    public record ClientModel(
            double perSecond,
            List<Surge> surges,
            long swingPeriodNs,
            double swingDepth,
            int retries,
            long backoffNs,
            boolean honorsRetryAfter,
            double timeoutShareLow,
            double timeoutShareHigh,
            int keyCount) {}

    /**
     * The network between nodes and servers.
     *
     * @param sameZoneDelayNs one-way delay within a zone
     * @param crossZoneDelayNs one-way delay between zones
     * @param jitter each delay is drawn uniformly from 1 to (1 + jitter) times its base value
     * @param connectionWorkNs work that a new connection costs its server, in addition to the round
     *     trip that opening it takes
     * @param connectTimeoutNs time after which a pending connect is abandoned
     * @param idleCloseNs time after which a server closes an idle connection
     * @param maxConnections the most connections that a server accepts at once
     */
    public record NetworkModel(
            long sameZoneDelayNs,
            long crossZoneDelayNs,
            double jitter,
            double connectionWorkNs,
            long connectTimeoutNs,
            long idleCloseNs,
            int maxConnections) {}

    /**
     * The servers.
     *
     * @param limits the limits of a server of speed 1
     * @param speedLow the lowest speed; each server's speed is drawn uniformly from {@code
     *     speedLow} to {@code speedHigh}
     * @param speedHigh the highest speed
     * @param cells number of cells; the servers of a cell deduplicate idempotency keys together; 0
     *     for no cells
     * @param reportsLoad whether responses carry load reports
     * @param reportEveryLowNs the least time between updates of a load report
     * @param reportEveryHighNs the longest time between updates of a load report
     * @param reportNoise the largest relative error of the values in a load report
     * @param healthCheckWorkNs the work of a health check
     * @param queuedHealthChecks whether a health check is queued and served like a request;
     *     otherwise it bypasses the queue and succeeds at once
     */
    public record FleetModel(
            int servers,
            ServerLimits limits,
            double speedLow,
            double speedHigh,
            int cells,
            boolean reportsLoad,
            long reportEveryLowNs,
            long reportEveryHighNs,
            double reportNoise,
            double healthCheckWorkNs,
            boolean queuedHealthChecks) {}

    /**
     * Discovery: a change reaches each node after a delay drawn from this range; a poll of the
     * endpoint list takes the lower bound.
     */
    public record DiscoveryModel(long minDelayNs, long maxDelayNs) {}

    /**
     * The settings of the nodes.
     *
     * @param responseSlackNs how long after its deadline a response still counts as in time
     * @param drainGraceNs how long a node may send new attempts to a server that drains
     * @param maxRetryAfterNs the longest Retry-After that a node sends; 0 to send none
     */
    public record NodeRules(
            int maxAttempts,
            long responseSlackNs,
            long drainGraceNs,
            long maxRetryAfterNs,
            boolean healthChecks,
            double crossZonePrice) {}

    /** The kinds of fault; scenario files name them in lower case. */
    public enum FaultKind {
        /**
         * {@code affectedShare} of the servers fail a share {@code magnitude} of their requests
         * immediately.
         */
        FAST_ERRORS,
        /**
         * {@code affectedShare} of the servers execute a share {@code magnitude} of their requests
         * and lose the responses.
         */
        LOST_ANSWERS,
        /**
         * {@code affectedShare} of the servers execute a share {@code magnitude} of their requests
         * and reset the connections.
         */
        RESETS,
        /**
         * {@code affectedShare} of the servers execute a share {@code magnitude} of their requests
         * and send responses that can't be parsed.
         */
        GARBAGE,
        /**
         * {@code affectedShare} of the servers follow a share {@code requestShare} of their
         * responses with another one, on the same connection and up to {@code magnitude} seconds
         * later. On sockets only: simulated connections carry no bytes.
         */
        STRAY_RESPONSES,
        /**
         * {@code affectedShare} of the servers send a response at once on a share {@code magnitude}
         * of their new connections. On sockets only.
         */
        GREETINGS,
        /**
         * {@code affectedShare} of the servers trickle each response over {@code magnitude}
         * seconds.
         */
        DRIPS,
        /** {@code affectedShare} of the servers work {@code magnitude} times slower. */
        SLOW,
        /** All load reports arrive {@code magnitude} seconds later than usual. */
        LATE_REPORTS,
        /** {@code requestShare} of the requests cost {@code magnitude} times the usual work. */
        HEAVY_TAIL,
        /**
         * {@code affectedShare} of the servers are isolated from the network: they neither receive
         * nor send anything, and no connection is closed.
         */
        CUT,
        /** {@code zone} is isolated from all other zones. */
        ZONE_CUT,
        /**
         * {@code affectedShare} of the servers drain one after the other, then restart cold under
         * the same ids.
         */
        RESTART,
        /** Like {@link #RESTART}, but the servers come back under new ids. */
        REPLACE,
        /**
         * {@code affectedShare} of the servers restart cold at the same moment, as after a power
         * failure.
         */
        COLD_FLEET,
        /** Discovery does not respond to requests, and its watches are closed. */
        ROSTER_DOWN,
        /**
         * {@code affectedShare} of the nodes are killed and start again after {@code durationNs},
         * without any earlier state.
         */
        NODE_KILL,
        /**
         * {@code affectedShare} of the nodes are shut down gracefully, one after the other, and
         * started again once they have exited.
         */
        NODE_RESTART,
        /** {@code affectedShare} of the nodes reload their configuration, which has not changed. */
        NODE_RELOAD,
        /** {@code affectedShare} of the nodes are paused for {@code durationNs}, then resumed. */
        NODE_PAUSE
    }

    /**
     * A fault and when it occurs.
     *
     * @param affectedShare the share of servers or nodes affected, 0 to 1
     * @param magnitude its meaning depends on the kind: see {@link FaultKind}
     * @param requestShare the share of requests affected; only for {@link FaultKind#HEAVY_TAIL} and
     *     {@link FaultKind#STRAY_RESPONSES}
     * @param zone the zone that is isolated, or whose servers alone are affected; null for all
     *     zones
     */
    public record ScheduledFault(
            FaultKind kind,
            long startNs,
            long durationNs,
            double affectedShare,
            double magnitude,
            double requestShare,
            String zone) {}

    public Scenario {
        zones = List.copyOf(zones);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        faults = List.copyOf(faults);
    }

    /**
     * This scenario with a single server and no faults, for load on nodes that have other servers.
     */
    public Scenario withSingleServer() {
        FleetModel singleServer =
                new FleetModel(
                        1,
                        fleet.limits(),
                        1,
                        1,
                        0,
                        false,
                        fleet.reportEveryLowNs(),
                        fleet.reportEveryHighNs(),
                        0,
                        fleet.healthCheckWorkNs(),
                        fleet.queuedHealthChecks());
        return new Scenario(
                name,
                description,
                durationNs,
                warmUpNs,
                nodes,
                zones,
                classes,
                tenants,
                clients,
                network,
                singleServer,
                discovery,
                rules,
                List.of());
    }

    /** The mean work of a request, in ns on a standard core. */
    public double meanWorkNs() {
        double shares = classes.stream().mapToDouble(ClassModel::share).sum();
        return classes.stream().mapToDouble(c -> c.share() / shares * c.meanWorkNs()).sum();
    }

    /**
     * The work that clients request per second, without surges, over the capacity of the warm
     * fleet.
     */
    public double offeredLoad() {
        double speed = (fleet.speedLow() + fleet.speedHigh()) / 2;
        return clients.perSecond()
                * meanWorkNs()
                / (fleet.servers() * fleet.limits().capacity() * speed);
    }
}
