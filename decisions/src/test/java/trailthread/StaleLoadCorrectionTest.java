package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import org.junit.Test;
import trailthread.api.Outcome;

/**
 * The stale-load correction: tickets also count this node's attempts since the last load report.
 */
public class StaleLoadCorrectionTest {
    private static final int PAIRS = 4000;

    /** How often the second of two requests goes to another endpoint than the first. */
    private static int toOtherEndpoint(boolean freshReport) {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 3);
        s.endpoints("a", "b");
        int toOtherEndpoint = 0;
        for (int i = 0; i < PAIRS; i++) {
            long first = s.request("safe");
            String firstEndpoint = s.sendsOf(first).get(0).endpoint();
            if (freshReport) {
                s.balancer.healthChecked(
                        s.now,
                        firstEndpoint,
                        Outcome.OK,
                        MS,
                        ScriptedBalancer.queueReport(0.001 * (i % 2)));
            }
            long second = s.request("safe");
            toOtherEndpoint += s.sendsOf(second).get(0).endpoint().equals(firstEndpoint) ? 0 : 1;
            s.advance(20 * MS);
            s.end(first, Outcome.OK);
            s.end(second, Outcome.OK);
        }
        return toOtherEndpoint;
    }

    @Test
    public void aFresherReportClearsTheStaleLoadCorrection() {
        int corrected =
                toOtherEndpoint(false); // tickets 1/2 against 1, where the limits permit both
        int withFreshReports = toOtherEndpoint(true); // 1 against 1
        assertTrue(
                corrected + " and " + withFreshReports, corrected > withFreshReports + PAIRS / 20);
    }
}
