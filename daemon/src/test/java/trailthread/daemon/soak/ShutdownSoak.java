package trailthread.daemon.soak;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.Map;

/** Plays runs of many seeds, and prints what broke. */
final class ShutdownSoak {
    /** The machine disturbs too much if it voids more than this share of the runs. */
    private static final double MAX_VOID_SHARE = 0.2;

    private final PrintStream out;
    private final Map<Rule, Integer> breaks = new EnumMap<>(Rule.class);
    private int runs;
    private int voidRuns;
    private int requests;

    ShutdownSoak(PrintStream out) {
        this.out = out;
    }

    /** Plays the run of a seed once. */
    void play(long seed) throws Exception {
        SoakRun.Result result = SoakRun.play(Scenario.of(seed));
        runs++;
        if (result.isVoid()) {
            voidRuns++;
            out.printf(
                    "seed %d: void, the machine held a thread for %d ms; breaks not counted: %s%n",
                    seed, result.worstDelayMs(), result.breaks());
            return;
        }
        requests += result.requests();
        out.printf(
                "seed %d: %d requests, %d breaks, last response %d ms before the kill, threads held"
                        + " %d ms%n",
                seed,
                result.requests(),
                result.breaks().size(),
                result.leftAtKillMs(),
                result.worstDelayMs());
        result.breaks().forEach(broken -> breaks.merge(broken.rule(), 1, Integer::sum));
        if (!result.breaks().isEmpty()) {
            print(result);
        }
    }

    private void print(SoakRun.Result result) {
        out.println("  " + result.scenario());
        result.breaks()
                .forEach(broken -> out.println("  " + broken.rule() + " " + broken.evidence()));
        result.log().forEach(line -> out.println("  | " + line));
    }

    /** A line with the breaks by rule, and the runs that were void. */
    String summary() {
        StringBuilder summary = new StringBuilder();
        summary.append(runs).append(" runs, ").append(voidRuns).append(" void, ");
        summary.append(requests).append(" requests; breaks:");
        for (Rule rule : Rule.values()) {
            summary.append(' ').append(rule).append(' ').append(breaks.getOrDefault(rule, 0));
        }
        return summary.toString();
    }

    /** Whether no rule broke, and the machine let enough runs count. */
    boolean passed() {
        return breaks.isEmpty() && voidRuns <= MAX_VOID_SHARE * runs;
    }
}
