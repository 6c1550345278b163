package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.Outcome;
import trailthread.api.Settings;

/**
 * Endpoints in slow start are sent no more than they can serve, and close to that much while the
 * lottery draws them.
 */
public class SlowStartBudgetTest {
    private static final int REQUESTS = 2_000;
    private static final int WARM_ENDPOINTS = 20;
    private static final int STARTING_ENDPOINTS = 10;

    /**
     * The share of requests that goes to endpoints in slow start, which are a third of the fleet
     * and can serve half as much as warm ones.
     */
    private static double shareOfStartingEndpoints(long seed) {
        Settings settings = ScriptedBalancer.settings();
        settings.nodes = 90;
        settings.slowStartInitialShare = 0.5;
        settings.slowStartNs = 100_000_000 * MS;
        ScriptedBalancer s = new ScriptedBalancer(settings, seed);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < WARM_ENDPOINTS; i++) {
            entries.add(ScriptedBalancer.ready("warm-" + i));
        }
        for (int i = 0; i < STARTING_ENDPOINTS; i++) {
            entries.add(
                    new EndpointEntry("starting-" + i, 1, EndpointState.READY, "here", s.now, 0));
        }
        s.balancer.updateEndpointList(s.now, ListKind.FULL, entries);
        serve(s, 200); // the token bucket fills with what this node has seen served
        int before = s.sends.size();
        serve(s, REQUESTS);
        return s.sends.stream()
                        .skip(before)
                        .filter(send -> send.endpoint().startsWith("starting"))
                        .count()
                / (double) REQUESTS;
    }

    private static void serve(ScriptedBalancer s, int requests) {
        for (int i = 0; i < requests; i++) {
            long id = s.request("safe");
            s.advance(20 * MS);
            s.end(id, Outcome.OK);
            s.advance(80 * MS);
        }
    }

    /** Prevents a full token bucket of one endpoint from starving the others in slow start. */
    @Test
    public void manyStartingEndpointsGetTheirFairShare() {
        double fair = STARTING_ENDPOINTS * 0.5 / (WARM_ENDPOINTS + STARTING_ENDPOINTS * 0.5);
        for (long seed = 1; seed <= 3; seed++) {
            double share = shareOfStartingEndpoints(seed);
            assertTrue("of " + fair + ": " + share, share > 0.4 * fair);
            assertTrue("of " + fair + ": " + share, share < 1.3 * fair);
        }
    }
}
