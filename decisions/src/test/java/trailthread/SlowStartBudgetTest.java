package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.Script.MS;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.Outcome;
import trailthread.api.Settings;

/**
 * What cold endpoints are sent: no more than they bear, and that much as long as the lottery draws
 * them.
 */
public class SlowStartBudgetTest {
    private static final int REQUESTS = 2_000;
    private static final int WARM = 20;
    private static final int COLD = 10;

    /**
     * Of the requests to a fleet of which a third has just started, at half its pace, the share to
     * these.
     */
    private static double shareOfTheCold(long seed) {
        Settings settings = Script.settings();
        settings.nodes = 90;
        settings.slowStartInitialShare = 0.5;
        settings.slowStartNs = 100_000_000 * MS;
        Script s = new Script(settings, seed);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < WARM; i++) {
            entries.add(Script.ready("warm-" + i));
        }
        for (int i = 0; i < COLD; i++) {
            entries.add(new EndpointEntry("cold-" + i, 1, EndpointState.READY, "here", s.now, 0));
        }
        s.balancer.list(s.now, ListKind.FULL, entries);
        serve(s, 200); // what it serves is what its budget rests on
        int before = s.sends.size();
        serve(s, REQUESTS);
        return s.sends.stream()
                        .skip(before)
                        .filter(send -> send.endpoint().startsWith("cold"))
                        .count()
                / (double) REQUESTS;
    }

    private static void serve(Script s, int requests) {
        for (int i = 0; i < requests; i++) {
            long id = s.request("safe");
            s.pass(20 * MS);
            s.end(id, Outcome.OK);
            s.pass(80 * MS);
        }
    }

    /** With a bucket for each, which stood full until it was drawn, it was 0.05. */
    @Test
    public void manyThatAreColdAtOnceGetTheirFairPart() {
        double fair = COLD * 0.5 / (WARM + COLD * 0.5);
        for (long seed = 1; seed <= 3; seed++) {
            double share = shareOfTheCold(seed);
            assertTrue("of " + fair + ": " + share, share > 0.4 * fair);
            assertTrue("of " + fair + ": " + share, share < 1.3 * fair);
        }
    }
}
