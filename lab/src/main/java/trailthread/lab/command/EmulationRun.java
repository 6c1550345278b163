package trailthread.lab.command;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import trailthread.lab.emulation.Emulation;
import trailthread.lab.metrics.RunMetrics;

/** What the commands that run in real time print. */
final class EmulationRun {
    private EmulationRun() {}

    /**
     * A line of progress: the second before the last, whose requests have mostly come to their
     * ends.
     */
    static void progress(Emulation emulation, PrintWriter print) {
        List<RunMetrics.SecondMetrics> seconds = emulation.metrics().seconds();
        int at = seconds.size() - 2;
        if (at < 0) {
            return;
        }
        long[] c = seconds.get(at).counts();
        print.printf(
                Locale.ROOT,
                "%4d s: asked %5d, in time %5d, late %4d, refused %4d, failed %4d, attempts %5d; "
                        + "this program late by %.1f ms at most%n",
                at,
                c[0],
                c[1],
                c[2],
                c[3],
                c[4],
                c[5],
                emulation.loop().lateUs().getMaxValue() / 1e3);
        print.flush();
    }

    /** Whether the run counts; if not, why, in a line. */
    static boolean counts(Emulation emulation, PrintWriter print) {
        double p99 = emulation.loop().lateUs().getValueAtPercentile(99) / 1e3;
        if (emulation.loop().wasLate()) {
            print.printf(
                    Locale.ROOT,
                    "no result: this program did 1%% of its work %.1f ms late and more%n",
                    p99);
            return false;
        }
        print.printf(
                Locale.ROOT, "this program was on time: 99%% of its work within %.2f ms%n", p99);
        return true;
    }
}
