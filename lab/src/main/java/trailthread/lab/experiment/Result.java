package trailthread.lab.experiment;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import trailthread.lab.invariant.InvariantChecker;
import trailthread.lab.metrics.RunMetrics;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.simulation.Simulation;

/**
 * What came of one run, as one line of JSON tells it.
 *
 * @param goodput worth answered in time over worth asked for
 * @param classes by class: asked, within the aim, after it, refused, failed
 * @param p50Ms latency of what was served, from the client's first try on
 * @param attempts sent to servers, for each request of a client
 * @param probes a second
 * @param opened connections to servers opened, a second
 * @param unevenness the most that a server was sent over the mean
 * @param broken how often each rule was broken; empty: none was
 * @param events done in virtual time
 * @param wallMs of this machine; not the same in another run
 * @param decisionMs of these, in the decisions; not the same in another run
 */
public record Result(
        String scenario,
        String policy,
        long seed,
        double goodput,
        Map<String, long[]> classes,
        double p50Ms,
        double p99Ms,
        double p999Ms,
        double attempts,
        double probes,
        double opened,
        double unevenness,
        Map<String, Integer> broken,
        long events,
        double wallMs,
        double decisionMs) {
    private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

    /** Of a day in virtual time. */
    public static Result of(Scenario scenario, String policy, long seed, Simulation.RunResult run) {
        return of(scenario, policy, seed, run.metrics(), run.checker(), run.events(), run.wallNs());
    }

    /** Of what was counted and judged. */
    public static Result of(
            Scenario scenario,
            String policy,
            long seed,
            RunMetrics metrics,
            InvariantChecker checker,
            long events,
            long wallNs) {
        Map<String, long[]> classes = new LinkedHashMap<>();
        metrics.classes().forEach((name, of) -> classes.put(name, of.counts()));
        Map<String, Integer> broken = new LinkedHashMap<>();
        checker.violationCounts()
                .forEach((rule, times) -> broken.put(rule.name().toLowerCase(Locale.ROOT), times));
        long[] totals = metrics.totals();
        double seconds = (scenario.durationNs() - scenario.warmUpNs()) / 1e9;
        Histogram latency = metrics.latencyUs();
        double mean =
                metrics.attemptsByServer().stream().mapToLong(Long::longValue).average().orElse(0);
        double most =
                metrics.attemptsByServer().stream().mapToLong(Long::longValue).max().orElse(0);
        return new Result(
                scenario.name(),
                policy,
                seed,
                metrics.goodput(),
                classes,
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3,
                latency.getValueAtPercentile(99.9) / 1e3,
                totals[0] == 0 ? 0 : (double) totals[2] / totals[0],
                totals[3] / seconds,
                totals[4] / seconds,
                mean == 0 ? 0 : most / mean,
                broken,
                events,
                wallNs / 1e6,
                metrics.decisionNs() / 1e6);
    }

    /** One line, without an end. */
    public String json() {
        return GSON.toJson(this);
    }

    /**
     * From one line.
     *
     * @throws com.google.gson.JsonParseException if it is none
     */
    public static Result fromJson(String line) {
        return GSON.fromJson(line, Result.class);
    }

    /**
     * The same run without what depends on the machine, so that two can be compared to the byte.
     */
    public Result withoutTimes() {
        return new Result(
                scenario,
                policy,
                seed,
                goodput,
                classes,
                p50Ms,
                p99Ms,
                p999Ms,
                attempts,
                probes,
                opened,
                unevenness,
                broken,
                events,
                0,
                0);
    }

    /** The head of a table of these. */
    public static String head() {
        return String.format(
                Locale.ROOT,
                "%-20s %-17s %5s %8s %9s %9s %9s %8s %8s %6s  %s",
                "scenario",
                "policy",
                "seed",
                "goodput",
                "p50 ms",
                "p99 ms",
                "attempts",
                "probes/s",
                "opened/s",
                "uneven",
                "broken rules");
    }

    /** One line of it. */
    public String row() {
        return String.format(
                Locale.ROOT,
                "%-20s %-17s %5d %8.4f %9.2f %9.2f %9.3f %8.1f %8.1f %6.2f  %s",
                scenario,
                policy,
                seed,
                goodput,
                p50Ms,
                p99Ms,
                attempts,
                probes,
                opened,
                unevenness,
                broken.isEmpty() ? "none" : broken);
    }
}
