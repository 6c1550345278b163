package trailthread.lab.scenario;

import java.util.List;
import trailthread.api.RequestClass;
import trailthread.api.Tenant;
import trailthread.lab.model.ServerLimits;

/**
 * A day: who asks for what, who serves, what lies between, and what goes wrong when. Times in ns
 * from its beginning.
 *
 * @param about one line for people
 * @param warmUpNs what happens before this does not count
 * @param zones at least one; nodes, clients and servers are spread over them evenly
 */
public record Scenario(
        String name,
        String about,
        long lengthNs,
        long warmUpNs,
        int nodes,
        List<String> zones,
        List<ClassLaw> classes,
        List<Tenant> tenants,
        ClientLaw clients,
        NetworkLaw network,
        FleetLaw fleet,
        ListLaw list,
        RuleLaw rules,
        List<Fault> faults) {

    /** How a request's work is drawn. */
    public enum Draw {
        FIXED,
        UNIFORM,
        EXPONENTIAL
    }

    /**
     * A class of requests.
     *
     * @param share of all first tries
     * @param lowNs the least work on a standard core; of an exponential draw the mean
     * @param highNs the most work of a uniform draw
     */
    public record ClassLaw(
            RequestClass rules, double share, Draw draw, double lowNs, double highNs) {
        /** The mean work, in ns on a standard core. */
        public double meanNs() {
            return draw == Draw.UNIFORM ? (lowNs + highNs) / 2 : lowNs;
        }
    }

    /**
     * A time of more requests, or fewer: the rate is {@code times} the usual one. A section that
     * presses start together is a short one of a large factor.
     */
    public record Surge(long atNs, long forNs, double times) {}

    /**
     * Clients: an open loop, with Poisson arrivals.
     *
     * @param perSecond first tries a second, over all nodes
     * @param swingNs the period of an even swing of the rate; 0: none
     * @param swing its depth, 0 to 1
     * @param retries most tries of a client's own after the first
     * @param backoffNs the wait before one, doubled with each, drawn uniformly from a half to the
     *     whole of it
     * @param heeds whether a client stays away as long as a refusal advises
     * @param patienceLow a try is given up after at least this share of the class's deadline
     * @param patienceHigh and at most this share
     * @param keys how many things requests concern; 0: none
     */
    public record ClientLaw(
            double perSecond,
            List<Surge> surges,
            long swingNs,
            double swing,
            int retries,
            long backoffNs,
            boolean heeds,
            double patienceLow,
            double patienceHigh,
            int keys) {}

    /**
     * What lies between nodes and servers.
     *
     * @param nearNs one way within a zone
     * @param farNs one way between zones
     * @param jitter each delay is drawn from itself to (1 + jitter) times itself
     * @param openWorkNs work of the server for a new connection; opening it also takes a way there
     *     and back
     * @param dialNs when a connect that does not come up is given up
     * @param idleCloseNs after so long without use a server closes a connection
     * @param connections most that a server holds
     */
    public record NetworkLaw(
            long nearNs,
            long farNs,
            double jitter,
            double openWorkNs,
            long dialNs,
            long idleCloseNs,
            int connections) {}

    /**
     * The servers.
     *
     * @param law of one of speed 1
     * @param speedLow the slowest one's speed, drawn uniformly
     * @param speedHigh the fastest one's
     * @param cells servers share what keys they have seen in so many groups; 0: no groups
     * @param reports whether answers carry load reports
     * @param everyLowNs a report is refreshed after at least this time
     * @param everyHighNs and at most this
     * @param noise a report's figures are off by up to this share
     * @param probeWorkNs a probe's work
     * @param deepProbes whether a probe waits and is served like a request; else it is answered at
     *     once, beside the queue
     */
    public record FleetLaw(
            int servers,
            ServerLimits law,
            double speedLow,
            double speedHigh,
            int cells,
            boolean reports,
            long everyLowNs,
            long everyHighNs,
            double noise,
            double probeWorkNs,
            boolean deepProbes) {}

    /**
     * Discovery: news take between these times to each node; a call for the list takes the lesser
     * one.
     */
    public record ListLaw(long lowNs, long highNs) {}

    /**
     * What nodes are told of the rules.
     *
     * @param maxRetryAfterNs the longest advice that clients heed; 0: none is given
     */
    public record RuleLaw(
            int maxAttempts,
            long responseSlackNs,
            long drainGraceNs,
            long maxRetryAfterNs,
            boolean probes,
            double crossZonePrice) {}

    /** What can go wrong. */
    public enum Trouble {
        /** {@code part} of the servers fail {@code size} of their requests at once. */
        FAST_ERRORS,
        /** They do the work of {@code size} of their requests, and the answers are lost. */
        LOST_ANSWERS,
        /** They do the work of {@code size} of their requests, and the connections are reset. */
        RESETS,
        /** They do the work of {@code size} of their requests, and what comes can't be read. */
        GARBAGE,
        /** Their answers take {@code size} seconds to come, byte by byte. */
        DRIPS,
        /** They work {@code size} times slower. */
        SLOW,
        /** All reports arrive {@code size} seconds later than usual. */
        LATE_REPORTS,
        /** {@code extra} of the requests cost {@code size} times the usual work. */
        HEAVY_TAIL,
        /** {@code part} of the servers are cut off: nothing comes or goes, and nothing is said. */
        CUT,
        /** All in {@code zone} are cut off from all other zones. */
        ZONE_CUT,
        /**
         * {@code part} of the servers drain one after the other, restart under their ids and come
         * back cold.
         */
        RESTART,
        /** The same, but under new ids. */
        REPLACE,
        /** {@code part} of the servers start anew at once, cold, as after a loss of power. */
        COLD_FLEET,
        /** Discovery answers nothing, and watches break. */
        ROSTER_DOWN,
        /**
         * {@code part} of the nodes are killed, and come back after the time with nothing known.
         */
        NODE_KILL,
        /**
         * {@code part} of the nodes are ended in order, one after the other, and started anew when
         * they have ended.
         */
        NODE_RESTART,
        /**
         * {@code part} of the nodes are told to read their configuration again, which has not
         * changed.
         */
        NODE_RELOAD,
        /** {@code part} of the nodes stop for the time and go on as if nothing were. */
        NODE_PAUSE
    }

    /**
     * Something that goes wrong.
     *
     * @param part the share of servers or nodes that it strikes, 0 to 1
     * @param zone whose, or null
     */
    public record Fault(
            Trouble trouble,
            long atNs,
            long forNs,
            double part,
            double size,
            double extra,
            String zone) {}

    public Scenario {
        zones = List.copyOf(zones);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        faults = List.copyOf(faults);
    }

    /** The same with as few servers as there can be: others have their own. */
    public Scenario withSingleServer() {
        FleetLaw one =
                new FleetLaw(
                        1,
                        fleet.law(),
                        1,
                        1,
                        0,
                        false,
                        fleet.everyLowNs(),
                        fleet.everyHighNs(),
                        0,
                        fleet.probeWorkNs(),
                        fleet.deepProbes());
        return new Scenario(
                name, about, lengthNs, warmUpNs, nodes, zones, classes, tenants, clients, network,
                one, list, rules, List.of());
    }

    /** The mean work of a request, in ns on a standard core. */
    public double meanWorkNs() {
        double shares = classes.stream().mapToDouble(ClassLaw::share).sum();
        return classes.stream().mapToDouble(c -> c.share() / shares * c.meanNs()).sum();
    }

    /** Work that clients ask for on a usual second over what the warm fleet can do in one. */
    public double load() {
        double speed = (fleet.speedLow() + fleet.speedHigh()) / 2;
        return clients.perSecond()
                * meanWorkNs()
                / (fleet.servers() * fleet.law().capacity() * speed);
    }
}
