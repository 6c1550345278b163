package trailthread.degradation;

import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import org.junit.Test;
import trailthread.api.LoadReport;
import trailthread.degradation.Fleet.Day;
import trailthread.degradation.Fleet.Told;

/** Guards against a module that believes load reports more than its own eyes, in virtual time. */
public class ReportsTest {
    private static final double UNKNOWN = Double.NaN;

    private static Fleet play(int others, Told told) {
        Fleet fleet = new Fleet(new Day(now -> 0.7, 0, 0, others, told), false).play(120 * Fleet.S);
        for (int kind = 0; kind < 3; kind++) {
            double share = fleet.servedShare(kind);
            assertTrue(
                    "class " + kind + ": " + share, share > 0.97); // 0.991 to 0.999 in five minutes
        }
        return fleet;
    }

    @Test
    public void aFleetWhoseReportsStopIsServedOn() {
        play(0, (worker, now, truth) -> now < 30 * Fleet.S ? truth : null);
    }

    /**
     * Its queue is full of others' calls all the time: 0.004 of all sends went there; its part is
     * 0.1.
     */
    @Test
    public void aFullWorkerThatTellsOfNoLoadIsNotBelieved() {
        LoadReport none = new LoadReport(0, 0, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN);
        Fleet fleet = play(15, (worker, now, truth) -> worker == 0 ? none : truth);
        double share = (double) fleet.sent[0] / Arrays.stream(fleet.sent).sum();
        assertTrue("sent to the liar: " + share, share < 0.03);
    }

    /** 0.12 of all sends went there. */
    @Test
    public void aWorkerThatAlwaysTellsOfNoLoadIsNotCrowded() {
        LoadReport none = new LoadReport(0, 0, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN);
        Fleet fleet = play(0, (worker, now, truth) -> worker == 0 ? none : truth);
        double share = (double) fleet.sent[0] / Arrays.stream(fleet.sent).sum();
        assertTrue("sent to the liar: " + share, share < 0.2);
    }
}
