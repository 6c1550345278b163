package trailthread.lab.command;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import trailthread.lab.emulation.Emulation;
import trailthread.lab.metrics.RunMetrics;

/** Prints the progress and the timeliness of runs in real time. */
final class EmulationOutput {
    private EmulationOutput() {}

    /**
     * Prints a line about the last but one second: most of its requests have ended, while those of
     * the last second may still be open.
     */
    static void printProgress(Emulation emulation, PrintWriter out) {
        List<RunMetrics.SecondMetrics> seconds = emulation.metrics().seconds();
        int second = seconds.size() - 2;
        if (second < 0) {
            return;
        }
        long[] counts = seconds.get(second).counts();
        out.printf(
                Locale.ROOT,
                "%4d s: started %5d, in time %5d, late %4d, refused %4d, failed %4d, attempts %5d; "
                        + "lab at most %.1f ms late%n",
                second,
                counts[0],
                counts[1],
                counts[2],
                counts[3],
                counts[4],
                counts[5],
                emulation.loop().latenessUs().getMaxValue() / 1e3);
        out.flush();
    }

    /** Prints how late the lab ran its events; returns whether the results of the run are valid. */
    static boolean printTimeliness(Emulation emulation, PrintWriter out) {
        double p99Ms = emulation.loop().latenessUs().getValueAtPercentile(99) / 1e3;
        if (emulation.loop().wasLate()) {
            out.printf(
                    Locale.ROOT,
                    "no result: the lab ran 1%% of its events at least %.1f ms late%n",
                    p99Ms);
            return false;
        }
        out.printf(
                Locale.ROOT, "the lab was on time: 99%% of its events ran within %.2f ms%n", p99Ms);
        return true;
    }
}
