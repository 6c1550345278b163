package trailthread.degradation;

import static org.junit.Assert.assertTrue;
import static trailthread.degradation.VirtualClock.S;

import org.junit.Test;

/**
 * Ten virtual minutes of a fleet with the real balancer, with and without levels of service. The
 * shares are of requests answered within their latency objective; docs/design/levels.md has the
 * measured ones.
 */
public class DegradationFleetTest {
    private static final long TEN_MINUTES = 600 * S;

    private static double swingEverySecond(long now) {
        return now / S % 2 == 0 ? 0.8 : 1.6;
    }

    private static void compare(String name, FleetScenario scenario, double maxWithout) {
        DegradationFleetResults without =
                new DegradationFleet(scenario, false).play(TEN_MINUTES).results();
        DegradationFleetResults with =
                new DegradationFleet(scenario, true).play(TEN_MINUTES).results();
        String summary =
                String.format(
                        "%s, without and with: attempts %.4f %.4f, polls %.4f %.4f, changes %d",
                        name,
                        without.servedShare(DegradationFleet.ATTEMPTS),
                        with.servedShare(DegradationFleet.ATTEMPTS),
                        without.servedShare(DegradationFleet.POLLS),
                        with.servedShare(DegradationFleet.POLLS),
                        with.changes.size());
        assertTrue(summary, without.servedShare(DegradationFleet.ATTEMPTS) < maxWithout);
        assertTrue(summary, with.servedShare(DegradationFleet.ATTEMPTS) > 0.99);
        assertTrue(
                summary,
                with.changes.size() >= 1 && with.changes.size() <= 2 * DegradationFleet.NODES);
    }

    @Test
    public void loadThatSwingsEverySecond() {
        compare("swing", new FleetScenario(DegradationFleetTest::swingEverySecond, 0, 0), 0.96);
    }

    @Test
    public void aFifthFailsQuicklyWhileReportsAreFiveSecondsLate() {
        compare("fifth", new FleetScenario(now -> 0.9, 0.2, 5 * S), 0.97);
    }

    @Test
    public void aFifthFailsWithLateReportsWhileLoadSwingsEverySecond() {
        compare(
                "both",
                new FleetScenario(DegradationFleetTest::swingEverySecond, 0.2, 5 * S),
                0.93);
    }

    @Test
    public void aFleetWithSpareCapacityKeepsFullService() {
        DegradationFleet fleet =
                new DegradationFleet(new FleetScenario(now -> 0.7, 0, 0), true).play(TEN_MINUTES);
        DegradationFleetResults results = fleet.results();
        assertTrue("no change: " + results.changes, results.changes.isEmpty());
        double polls = results.servedShare(DegradationFleet.POLLS);
        assertTrue("polls: " + polls, polls > 0.99);
    }
}
