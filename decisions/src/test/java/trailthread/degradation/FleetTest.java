package trailthread.degradation;

import static org.junit.Assert.assertTrue;

import org.junit.Test;
import trailthread.degradation.Fleet.Day;

/**
 * Levels before the real decision module, ten virtual minutes, with and without. The shares are of
 * calls answered within their aim; the measured ones stand in docs/design/levels.md.
 */
public class FleetTest {
    private static final int ATTEMPTS = 2;

    private static double swing(long now) {
        return now / Fleet.S % 2 == 0 ? 0.8 : 1.6;
    }

    private static void compare(String name, Day day, double mostWithout) {
        Fleet without = new Fleet(day, false).play(600 * Fleet.S);
        Fleet with = new Fleet(day, true).play(600 * Fleet.S);
        String what =
                String.format(
                        "%s, without and with: attempts %.4f %.4f, polls %.4f %.4f, changes %d",
                        name,
                        without.servedShare(ATTEMPTS),
                        with.servedShare(ATTEMPTS),
                        without.servedShare(0),
                        with.servedShare(0),
                        with.changes.size());
        assertTrue(what, without.servedShare(ATTEMPTS) < mostWithout);
        assertTrue(what, with.servedShare(ATTEMPTS) > 0.99);
        assertTrue(what, with.changes.size() >= 1 && with.changes.size() <= 2 * Fleet.NODES);
    }

    @Test
    public void loadThatSwingsEverySecond() {
        compare("swing", new Day(FleetTest::swing, 0, 0), 0.96);
    }

    @Test
    public void aFifthFailsQuicklyWhileReportsAreFiveSecondsLate() {
        compare("fifth", new Day(now -> 0.9, 0.2, 5 * Fleet.S), 0.97);
    }

    @Test
    public void bothAtOnce() {
        compare("both", new Day(FleetTest::swing, 0.2, 5 * Fleet.S), 0.93);
    }

    @Test
    public void aFleetWithRoomKeepsFullService() {
        Fleet fleet = new Fleet(new Day(now -> 0.7, 0, 0), true).play(600 * Fleet.S);
        assertTrue("no change: " + fleet.changes, fleet.changes.isEmpty());
        assertTrue("polls: " + fleet.servedShare(0), fleet.servedShare(0) > 0.99);
    }
}
