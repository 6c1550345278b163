package trailthread.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** The steps of a shutdown against the earliest time at which the platform may kill the node. */
public class ShutdownPlanTest {
    private static final long MS = 1_000_000L;

    @Test
    public void stepsForShortAndLongDeadlines() {
        // In ms: longest deadline, lateness; close after responses, close listener, answered.
        long[][] cases = {
            {150, 0, 475, 625, 700},
            {300, 0, 550, 700, 850},
            {1_200, 0, 550, 700, 1_750},
            {3_000, 0, 550, 700, 3_550},
            {4_000, 0, 550, 700, 3_550},
            {10_000, 0, 550, 700, 3_550},
            {1_200, 60, 550, 700, 1_690},
            {1_200, 900, 550, 700, 1_600},
            {150, 900, 325, 475, 550},
        };
        for (long[] c : cases) {
            ShutdownPlan plan = ShutdownPlan.of(c[0] * MS, c[1] * MS);
            String label = c[0] + " ms, late by " + c[1];
            assertEquals(label, c[2] * MS, plan.closeAfterResponsesNs());
            assertEquals(label, c[3] * MS, plan.closeListenerNs());
            assertEquals(label, c[4] * MS, plan.answeredNs());
        }
    }

    @Test
    public void lateRequestsAreAcceptedAndAnsweredBeforeAKill() {
        for (long ms = 1; ms < 20_000; ms = ms * 5 / 4 + 1) {
            for (long late = 0; late < 1_000; late = 2 * late + 10) {
                ShutdownPlan plan = ShutdownPlan.of(ms * MS, late * MS);
                assertTrue(
                        "new connections are accepted for 0.4 s",
                        plan.closeListenerNs() >= 400 * MS);
                assertTrue(
                        plan.closeAfterResponsesNs() < plan.closeListenerNs()
                                && plan.closeListenerNs() <= plan.answeredNs());
                assertTrue(plan.answeredNs() <= (700 + Math.min(ms, 3_000) - 150) * MS);
            }
        }
    }
}
