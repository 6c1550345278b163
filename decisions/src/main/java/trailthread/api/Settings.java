package trailthread.api;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a balancer, each with its default. They are read when the balancer is created and
 * when {@link trailthread.Balancer#applySettings} is called. Prices and weights are shares of the
 * goal, which is at most 1.
 */
public final class Settings {
    private static final int RESOLUTION_DIVISOR = 50;

    /** The resolution of the host's clock: the least difference between two times of events. */
    public long tickNs = 1_000_000;

    /** This node's number, from 0. */
    public int nodeIndex;

    /** How many nodes there are. */
    public int nodes = 1;

    /** The zone of this node. */
    public String zone = "";

    public final List<RequestClass> classes = new ArrayList<>();
    public final List<Tenant> tenants = new ArrayList<>();

    /** The share of its weight that a request over its tenant's quota keeps. */
    public double overQuotaWeight = 1;

    /** Whether the priority weight is per unit of work, not per request. */
    public boolean weightByWork;

    /** Weight in the goal of the share served over all time. */
    public double goalOverall = 1;

    /** Weight in the goal of the share served in the worst window of time. */
    public double goalWorstWindow;

    /** Weight in the goal of the share served to the worst-served class. */
    public double goalWorstClass;

    /** Weight in the goal of the share served to the worst-served tenant. */
    public double goalWorstTenant;

    /** The price of one attempt to another zone, as a share of the goal. */
    public double crossZonePrice;

    /** The price of a hundred open connections to each endpoint, over all nodes. */
    public double connectionPrice;

    /** Whether attempts may be cancelled. The balancer does not use this. */
    public boolean mayCancel;

    /** Whether endpoints may be sent health checks. */
    public boolean mayCheckHealth;

    /** Whether nodes may send each other messages. The balancer does not use this. */
    public boolean mayGossip;

    /**
     * Whether a request may have several attempts in flight. The balancer sends no hedged attempts
     * of its own.
     */
    public boolean mayHedge;

    /** The most attempts of each request, including the first. */
    public int maxAttempts = 3;

    /** Whether rejections carry a Retry-After. */
    public boolean retryAfter;

    /** The longest Retry-After that clients honour. */
    public long maxRetryAfterNs;

    /** The longest time to establish a connection. */
    public long connectTimeoutNs = 200_000_000;

    /** Whether the endpoint list must be polled; else it is pushed. */
    public boolean listIsPolled;

    /** What the weights in the endpoint list mean. */
    public WeightMeaning weights = WeightMeaning.NONE;

    /** How load reports reach the node. */
    public LoadReportSource reports = LoadReportSource.NONE;

    /** Whether an endpoint that recently served a key serves it again with less work. */
    public boolean keyAffinity;

    /** How long after the client's deadline a final answer still counts. */
    public long responseSlackNs = 10_000_000;

    /** Without a watch, the list is polled at least this often. */
    public long pollIntervalNs = 10_000_000_000L;

    /** The share of its capacity that an endpoint has when it starts, in (0, 1]. */
    public double slowStartInitialShare = 0.1;

    /** How long after its start an endpoint reaches its full capacity. */
    public long slowStartNs = 30_000_000_000L;

    /**
     * An endpoint in slow start that is sent this multiple of its capacity for {@link
     * #overloadWindowNs} collapses.
     */
    public double overloadMultiple = 2;

    /** See {@link #overloadMultiple}. */
    public long overloadWindowNs = 1_000_000_000;

    /**
     * Latencies that differ by less than this count as equal: a fiftieth of the tightest latency
     * objective, in nanoseconds.
     */
    public long latencyResolutionNs() {
        long tightestNs =
                classes.stream().mapToLong(RequestClass::latencyObjectiveNs).min().orElse(0);
        return tightestNs / RESOLUTION_DIVISOR;
    }

    /** Throws an IllegalArgumentException that names the first setting out of range. */
    public void check() {
        require(!classes.isEmpty(), "classes: at least one is needed");
        for (RequestClass c : classes) {
            String at = "class " + c.name() + ": ";
            require(c.latencyObjectiveNs() >= 0, at + "aimNs is negative");
            require(c.deadlineNs() > 0, at + "deadlineNs is not above 0");
            require(c.deduplicationWindowNs() >= 0, at + "windowNs is negative");
            require(
                    isWeight(c.priorityWeight()) && isWeight(c.lateWeightShare()),
                    at + "worth or lateWorth is negative or not finite");
        }
        require(tickNs >= 0, "tickNs: negative");
        require(nodes >= 1, "nodes: below 1");
        require(maxAttempts >= 1, "maxAttempts: below 1");
        require(responseSlackNs >= 0, "answerSlackNs: negative");
        require(pollIntervalNs > 0, "askEveryNs: not above 0");
        require(
                slowStartInitialShare > 0 && slowStartInitialShare <= 1,
                "coldShare: not in (0, 1]");
        require(slowStartNs >= 0, "coldNs: negative");
        require(overloadWindowNs > 0, "fallNs: not above 0");
        require(overloadMultiple > 0, "fallMultiple: not above 0");
    }

    private static boolean isWeight(double number) {
        return number >= 0 && number < Double.POSITIVE_INFINITY;
    }

    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
