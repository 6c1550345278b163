package trailthread.degradation;

import static org.junit.Assert.assertTrue;
import static trailthread.degradation.VirtualClock.S;

import org.junit.Test;
import trailthread.api.LoadReport;
import trailthread.degradation.FleetScenario.Reporter;

/**
 * A balancer must trust the outcomes of its own attempts more than load reports that are missing or
 * false. Runs in virtual time.
 */
public class UnreliableReportsTest {
    private static final double UNKNOWN = Double.NaN;
    private static final LoadReport NO_LOAD =
            new LoadReport(0, 0, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN);
    private static final int FALSE_REPORTER = 0;

    private static DegradationFleetResults play(int foreignRequests, Reporter reporter) {
        FleetScenario scenario = new FleetScenario(now -> 0.7, 0, 0, foreignRequests, reporter);
        DegradationFleetResults results =
                new DegradationFleet(scenario, false).play(120 * S).results();
        for (int requestClass = 0; requestClass < DegradationFleet.CLASSES; requestClass++) {
            double share = results.servedShare(requestClass);
            // 0.991 to 0.999 in five minutes
            assertTrue("class " + requestClass + ": " + share, share > 0.97);
        }
        return results;
    }

    private static LoadReport alwaysIdle(int endpoint, long now, LoadReport truth) {
        return endpoint == FALSE_REPORTER ? NO_LOAD : truth;
    }

    @Test
    public void aFleetWhoseReportsStopKeepsServing() {
        play(0, (endpoint, now, truth) -> now < 30 * S ? truth : null);
    }

    /**
     * The queue of the endpoint is always full of other clients' requests: 0.004 of all attempts
     * went there, where an equal share is 0.1.
     */
    @Test
    public void aFullEndpointThatReportsNoLoadIsNotBelieved() {
        double share = play(15, UnreliableReportsTest::alwaysIdle).sentShare(FALSE_REPORTER);
        assertTrue("sent to the false reporter: " + share, share < 0.03);
    }

    /** 0.12 of all attempts went to the endpoint. */
    @Test
    public void anEndpointThatAlwaysReportsNoLoadIsNotOverloaded() {
        double share = play(0, UnreliableReportsTest::alwaysIdle).sentShare(FALSE_REPORTER);
        assertTrue("sent to the false reporter: " + share, share < 0.2);
    }
}
