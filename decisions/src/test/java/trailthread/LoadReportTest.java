package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.Script.MS;

import org.junit.Test;
import trailthread.api.Outcome;

/** The design's correction: own sends since the report that the tickets rest on. */
public class LoadReportTest {
    private static final int TURNS = 4000;

    /** How often the second of two requests goes where the first is not. */
    private static int apart(boolean freshReport) {
        Script s = new Script(Script.settings(), 3);
        s.endpoints("a", "b");
        int apart = 0;
        for (int i = 0; i < TURNS; i++) {
            long first = s.request("safe");
            String holds = s.sendsOf(first).get(0).endpoint();
            if (freshReport) {
                s.balancer.healthChecked(
                        s.now, holds, Outcome.OK, MS, Script.queue(0.001 * (i % 2)));
            }
            long second = s.request("safe");
            apart += s.sendsOf(second).get(0).endpoint().equals(holds) ? 0 : 1;
            s.pass(20 * MS);
            s.end(first, Outcome.OK);
            s.end(second, Outcome.OK);
        }
        return apart;
    }

    @Test
    public void aFresherReportClearsTheCorrection() {
        int corrected = apart(false); // tickets 1/2 against 1, but for what the limits close
        int cleared = apart(true); // 1 against 1
        assertTrue(corrected + " and " + cleared, corrected > cleared + TURNS / 20);
    }
}
