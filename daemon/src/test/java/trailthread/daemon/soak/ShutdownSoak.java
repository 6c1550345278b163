package trailthread.daemon.soak;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.Map;

/** Runs the scenarios of many seeds, and prints the violations. */
final class ShutdownSoak {
    /** The test fails if the machine was so busy that more than this share of the runs are void. */
    private static final double MAX_VOID_SHARE = 0.2;

    private final PrintStream out;
    private final Map<Rule, Integer> violations = new EnumMap<>(Rule.class);
    private int runs;
    private int voidRuns;
    private int requests;

    ShutdownSoak(PrintStream out) {
        this.out = out;
    }

    /** Runs a scenario once. */
    void run(Scenario scenario) throws Exception {
        long seed = scenario.seed();
        SoakRun.Result result = SoakRun.run(scenario);
        runs++;
        if (result.isVoid()) {
            voidRuns++;
            out.printf(
                    "seed %d: void, the machine delayed a thread by %d ms; violations not counted:"
                            + " %s%n",
                    seed, result.worstDelayMs(), result.violations());
            return;
        }
        requests += result.requests();
        out.printf(
                "seed %d: %d requests, %d violations, last response %d ms before the kill,"
                        + " threads delayed by %d ms%n",
                seed,
                result.requests(),
                result.violations().size(),
                result.marginBeforeKillMs(),
                result.worstDelayMs());
        result.violations()
                .forEach(violation -> violations.merge(violation.rule(), 1, Integer::sum));
        if (!result.violations().isEmpty()) {
            print(result);
        }
    }

    private void print(SoakRun.Result result) {
        out.println("  " + result.scenario());
        result.violations()
                .forEach(
                        violation ->
                                out.println("  " + violation.rule() + " " + violation.evidence()));
        result.log().forEach(line -> out.println("  | " + line));
    }

    /** A line with the numbers of void runs and of violations by rule. */
    String summary() {
        StringBuilder summary = new StringBuilder();
        summary.append(runs).append(" runs, ").append(voidRuns).append(" void, ");
        summary.append(requests).append(" requests; violations:");
        for (Rule rule : Rule.values()) {
            summary.append(' ').append(rule).append(' ').append(violations.getOrDefault(rule, 0));
        }
        return summary.toString();
    }

    /** Whether no rule was broken, and enough runs were not void. */
    boolean passed() {
        return violations.isEmpty() && voidRuns <= MAX_VOID_SHARE * runs;
    }
}
