package trailthread.lab.scenario;

import java.util.List;
import trailthread.api.RequestClass;
import trailthread.api.Tenant;
import trailthread.lab.model.ServerLimits;

/**
 * A day: who asks for what, who serves, what lies between, and what goes wrong when. Times in ns
 * from its beginning.
 *
 * @param description one line for people
 * @param warmUpNs what happens before this does not count
 * @param zones at least one; nodes, clients and servers are spread over them evenly
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

    /** How a request's work is drawn. */
    public enum WorkDistribution {
        FIXED,
        UNIFORM,
        EXPONENTIAL
    }

    /**
     * A class of requests.
     *
     * @param share of all first tries
     * @param lowWorkNs the least work on a standard core; of an exponential draw the mean
     * @param highWorkNs the most work of a uniform draw
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
     * A time of more requests, or fewer: the rate is {@code rateFactor} the usual one. A section
     * that presses start together is a short one of a large factor.
     */
    public record Surge(long startNs, long durationNs, double rateFactor) {}

    /**
     * Clients: an open loop, with Poisson arrivals.
     *
     * @param perSecond first tries a second, over all nodes
     * @param swingPeriodNs the period of an even swing of the rate; 0: none
     * @param swingDepth its depth, 0 to 1
     * @param retries most tries of a client's own after the first
     * @param backoffNs the wait before one, doubled with each, drawn uniformly from a half to the
     *     whole of it
     * @param honorsRetryAfter whether a client stays away as long as a refusal advises
     * @param timeoutShareLow a try is given up after at least this share of the class's deadline
     * @param timeoutShareHigh and at most this share
     * @param keyCount how many things requests concern; 0: none
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
     * What lies between nodes and servers.
     *
     * @param sameZoneDelayNs one way within a zone
     * @param crossZoneDelayNs one way between zones
     * @param jitter each delay is drawn from itself to (1 + jitter) times itself
     * @param connectionWorkNs work of the server for a new connection; opening it also takes a way
     *     there and back
     * @param connectTimeoutNs when a connect that does not come up is given up
     * @param idleCloseNs after so long without use a server closes a connection
     * @param maxConnections most that a server holds
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
     * @param limits of one of speed 1
     * @param speedLow the slowest one's speed, drawn uniformly
     * @param speedHigh the fastest one's
     * @param cells servers share what keys they have seen in so many groups; 0: no groups
     * @param reportsLoad whether answers carry load reports
     * @param reportEveryLowNs a report is refreshed after at least this time
     * @param reportEveryHighNs and at most this
     * @param reportNoise a report's figures are off by up to this share
     * @param healthCheckWorkNs a probe's work
     * @param queuedHealthChecks whether a probe waits and is served like a request; else it is
     *     answered at once, beside the queue
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
     * Discovery: news take between these times to each node; a call for the list takes the lesser
     * one.
     */
    public record DiscoveryModel(long minDelayNs, long maxDelayNs) {}

    /**
     * What nodes are told of the rules.
     *
     * @param maxRetryAfterNs the longest advice that clients heed; 0: none is given
     */
    public record NodeRules(
            int maxAttempts,
            long responseSlackNs,
            long drainGraceNs,
            long maxRetryAfterNs,
            boolean healthChecks,
            double crossZonePrice) {}

    /** What can go wrong. */
    public enum FaultKind {
        /**
         * {@code affectedShare} of the servers fail {@code magnitude} of their requests at once.
         */
        FAST_ERRORS,
        /** They do the work of {@code magnitude} of their requests, and the answers are lost. */
        LOST_ANSWERS,
        /**
         * They do the work of {@code magnitude} of their requests, and the connections are reset.
         */
        RESETS,
        /**
         * They do the work of {@code magnitude} of their requests, and what comes can't be read.
         */
        GARBAGE,
        /** Their answers take {@code magnitude} seconds to come, byte by byte. */
        DRIPS,
        /** They work {@code magnitude} times slower. */
        SLOW,
        /** All reports arrive {@code magnitude} seconds later than usual. */
        LATE_REPORTS,
        /** {@code requestShare} of the requests cost {@code magnitude} times the usual work. */
        HEAVY_TAIL,
        /**
         * {@code affectedShare} of the servers are cut off: nothing comes or goes, and nothing is
         * said.
         */
        CUT,
        /** All in {@code zone} are cut off from all other zones. */
        ZONE_CUT,
        /**
         * {@code affectedShare} of the servers drain one after the other, restart under their ids
         * and come back cold.
         */
        RESTART,
        /** The same, but under new ids. */
        REPLACE,
        /**
         * {@code affectedShare} of the servers start anew at once, cold, as after a loss of power.
         */
        COLD_FLEET,
        /** Discovery answers nothing, and watches break. */
        ROSTER_DOWN,
        /**
         * {@code affectedShare} of the nodes are killed, and come back after the time with nothing
         * known.
         */
        NODE_KILL,
        /**
         * {@code affectedShare} of the nodes are ended in order, one after the other, and started
         * anew when they have ended.
         */
        NODE_RESTART,
        /**
         * {@code affectedShare} of the nodes are told to read their configuration again, which has
         * not changed.
         */
        NODE_RELOAD,
        /** {@code affectedShare} of the nodes stop for the time and go on as if nothing were. */
        NODE_PAUSE
    }

    /**
     * Something that goes wrong.
     *
     * @param affectedShare the share of servers or nodes that it strikes, 0 to 1
     * @param zone whose, or null
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

    /** The same with as few servers as there can be: others have their own. */
    public Scenario withSingleServer() {
        FleetModel one =
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
                one,
                discovery,
                rules,
                List.of());
    }

    /** The mean work of a request, in ns on a standard core. */
    public double meanWorkNs() {
        double shares = classes.stream().mapToDouble(ClassModel::share).sum();
        return classes.stream().mapToDouble(c -> c.share() / shares * c.meanWorkNs()).sum();
    }

    /** Work that clients ask for on a usual second over what the warm fleet can do in one. */
    public double offeredLoad() {
        double speed = (fleet.speedLow() + fleet.speedHigh()) / 2;
        return clients.perSecond()
                * meanWorkNs()
                / (fleet.servers() * fleet.limits().capacity() * speed);
    }
}
