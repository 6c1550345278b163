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
 * The result of one run. The JSON keys are the names of the record components.
 *
 * @param goodput the priority weight of operations served within their latency objective, plus the
 *     reduced weight of those served late, over the priority weight of all operations
 * @param classes for each class the number of operations: all, served within the latency objective,
 *     served late, rejected, failed
 * @param p50Ms latency of served operations, from the client's first attempt to the response
 * @param attempts attempts sent to servers, per client operation
 * @param probes health checks per second
 * @param opened connections opened to servers, per second
 * @param unevenness the attempts at the busiest server over the mean of all servers, including the
 *     warm-up
 * @param broken the number of violations of each invariant; empty if there were none
 * @param events events executed in virtual time; 0 for a run in real time
 * @param wallMs duration of the run on this machine; varies between runs
 * @param decisionMs the part of {@code wallMs} spent in load balancing decisions; varies between
 *     runs
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

    /** The result of a run in virtual time. */
    public static Result of(Scenario scenario, String policy, long seed, Simulation.RunResult run) {
        return of(scenario, policy, seed, run.metrics(), run.checker(), run.events(), run.wallNs());
    }

    /** The result of a run with these metrics and this state of its invariant checker. */
    public static Result of(
            Scenario scenario,
            String policy,
            long seed,
            RunMetrics metrics,
            InvariantChecker checker,
            long events,
            long wallNs) {
        Map<String, long[]> classes = new LinkedHashMap<>();
        metrics.classes().forEach((name, counted) -> classes.put(name, counted.counts()));
        Map<String, Integer> broken = new LinkedHashMap<>();
        checker.violationCounts()
                .forEach(
                        (invariant, count) ->
                                broken.put(invariant.name().toLowerCase(Locale.ROOT), count));
        long[] totals = metrics.totals();
        double seconds = (scenario.durationNs() - scenario.warmUpNs()) / 1e9;
        Histogram latency = metrics.latencyUs();
        double meanAttempts =
                metrics.attemptsByServer().stream().mapToLong(Long::longValue).average().orElse(0);
        double maxAttempts =
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
                meanAttempts == 0 ? 0 : maxAttempts / meanAttempts,
                broken,
                events,
                wallNs / 1e6,
                metrics.decisionNs() / 1e6);
    }

    /** One line of JSON, without a line terminator. */
    public String json() {
        return GSON.toJson(this);
    }

    /**
     * Parses a line that {@link #json} returned.
     *
     * @throws com.google.gson.JsonParseException if the line is not a result
     */
    public static Result fromJson(String line) {
        return GSON.fromJson(line, Result.class);
    }

    /** This result with both durations set to 0, so that runs with the same seed compare equal. */
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

    /** The header line of a table of results. */
    public static String tableHeader() {
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

    /** This result as a line of the table. */
    public String tableRow() {
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
