package trailthread.api;

import java.util.ArrayList;
import java.util.List;

/** Settings, each with its default. A balancer reads them when it is made or retuned. */
public final class Settings {
    /** The least time between two events with different clocks. */
    public long tickNs = 1_000_000;

    /** This node's number, and how many nodes there are. */
    public int me;

    public int nodes = 1;
    public String zone = "";
    public final List<RequestClass> classes = new ArrayList<>();
    public final List<Tenant> tenants = new ArrayList<>();

    /** Worth of a request past its tenant's quota, as a share. */
    public double overQuotaWeight = 1;

    /** Worth is counted per unit of work, not per request. */
    public boolean weightByWork;

    /** WeightMeaning of the goal's parts. */
    public double goalWhole = 1;

    public double goalWorstWindow;
    public double goalWorstClass;
    public double goalWorstTenant;

    /** Price of one attempt to another zone, as a share of the goal. */
    public double crossZonePrice;

    /** What the goal loses for a hundred open connections an endpoint, over all nodes. */
    public double connectionPrice;

    public boolean mayCancel;
    public boolean mayCheckHealth;
    public boolean mayGossip;
    public boolean mayHedge;
    public int maxAttempts = 3;

    /** Whether clients hear advice on when to return, and the longest that they heed. */
    public boolean retryAfter;

    public long maxRetryAfterNs;
    public long connectTimeoutNs = 200_000_000;

    /** The list must be asked for. */
    public boolean listIsPolled;

    public WeightMeaning weights = WeightMeaning.NONE;
    public LoadReportSource reports = LoadReportSource.NONE;

    /** An endpoint that served a key lately serves it for less work. */
    public boolean keyAffinity;

    /** How far past the client's deadline a final answer still counts. */
    public long responseSlackNs = 10_000_000;

    /** Without a watch, ask for the list at least this often. */
    public long pollIntervalNs = 10_000_000_000L;

    /** A cold endpoint can do at least this share, and all after {@link #slowStartNs}. */
    public double slowStartInitialShare = 0.1;

    public long slowStartNs = 30_000_000_000L;

    /**
     * Sent this multiple of what it can do for {@link #overloadWindowNs}, a cold endpoint falls
     * over.
     */
    public double overloadMultiple = 2;

    public long overloadWindowNs = 1_000_000_000;

    /**
     * Differences in the latency of answers that matter to nobody: a fiftieth of the tightest aim.
     */
    public long latencyResolutionNs() {
        return classes.stream().mapToLong(RequestClass::latencyObjectiveNs).min().orElse(0) / 50;
    }

    /** Throws an IllegalArgumentException that names the first setting that makes no sense. */
    public void check() {
        require(!classes.isEmpty(), "classes: at least one is needed");
        for (RequestClass c : classes) {
            String at = "class " + c.name() + ": ";
            require(c.latencyObjectiveNs() >= 0, at + "aimNs is negative");
            require(c.deadlineNs() > 0, at + "deadlineNs is not above 0");
            require(c.deduplicationWindowNs() >= 0, at + "windowNs is negative");
            require(
                    c.priorityWeight() >= 0 && c.lateWeightShare() >= 0,
                    at + "worth or lateWorth is negative");
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

    static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }
}
