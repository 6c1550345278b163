package trailthread.degradation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static trailthread.degradation.Reading.FAILING;
import static trailthread.degradation.Reading.LATENESS;
import static trailthread.degradation.Reading.REPORT_AGE;
import static trailthread.degradation.Reading.STARVED;

import java.util.List;
import org.junit.Test;

/** When the level changes, and when it must not. */
public class DegradationControllerTest {
    private static final List<DegradationLevel> LEVELS = DegradationPlan.defaults();
    private static final double LATE_NS = 0.5e9;
    private static final double[] UNUSABLE = {
        Double.NaN, -0.5, -2e9, 1.5, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY
    };

    @Test
    public void eachConditionEntersItsLevelAfterItsTimeAndHoldsItUntilUnderItsLeaveBound() {
        for (DegradationLevel l : LEVELS) {
            for (Condition c : l.conditions()) {
                String what = l.name() + " by " + c.reading();
                ControllerDriver under =
                        new ControllerDriver().set(c.reading(), Math.nextDown(c.enter())).run(60);
                assertTrue(what, LEVELS.indexOf(under.controller.level()) < LEVELS.indexOf(l));
                ControllerDriver driver =
                        new ControllerDriver().set(c.reading(), c.enter()).run(c.holdNs() / 1e9);
                assertTrue(what, LEVELS.indexOf(driver.controller.level()) < LEVELS.indexOf(l));
                assertEquals(what, l.name(), driver.run(0.25).level());
                Change.Cause cause = driver.changes.get(driver.changes.size() - 1).causes().get(0);
                assertEquals(new Change.Cause(c.reading(), c.enter(), c.enter()), cause);
                assertEquals(what, l.name(), driver.set(c.reading(), c.leave()).run(600).level());
                driver.set(c.reading(), Math.nextDown(c.leave())).run(l.leaveNs() / 1e9);
                assertEquals(what, l.name(), driver.level());
                driver.run(61); // the shed classes are admitted again first
                assertEquals(
                        what, LEVELS.indexOf(l) - 1, LEVELS.indexOf(driver.controller.level()), 1);
                assertEquals(what, "normal", driver.set(c.reading(), 0).run(180).level());
            }
        }
    }

    @Test
    public void goesDownSeveralLevelsAtOnceAndUpOneAtATime() {
        ControllerDriver driver =
                new ControllerDriver().set(FAILING, 0.6).run(3).set(FAILING, 0).run(300);
        assertEquals(
                List.of(
                        "level normal -> reduced: failing 0.600 >= 0.150, stays 20 s or longer",
                        "level reduced -> essential: failing 0.600 >= 0.500, stays 30 s or longer",
                        "level essential -> reduced: failing 0.000 < 0.350, stays 20 s or longer",
                        "level reduced -> lean: failing 0.000 < 0.110, stays 10 s or longer",
                        "level lean -> normal: none of its conditions holds, stays 0 s or longer"),
                driver.changes.stream().map(Change::toString).toList());
    }

    @Test
    public void swingsEverySecondCauseNoChangeAndTheWorstSwingsFew() {
        assertEquals(0, swing(1, 1).changes.size());
        int most = 0;
        for (double bad : new double[] {1.25, 1.5, 2, 5, 15, 30, 60}) {
            for (double well = 0.25; well <= 60; well += 0.5) {
                most = Math.max(most, swing(bad, well).changes.size());
            }
        }
        assertEquals("changes in ten minutes of the worst swings", 15, most);
    }

    private static ControllerDriver swing(double bad, double well) {
        ControllerDriver driver = new ControllerDriver();
        for (double t = 0; t < 600; t += bad + well) {
            driver.set(FAILING, 0.2).run(bad).set(FAILING, 0).run(well);
        }
        return driver;
    }

    @Test
    public void faultsThatOverlapKeepTheLevelUntilBothAreOver() {
        ControllerDriver driver =
                new ControllerDriver()
                        .set(FAILING, 0.3)
                        .run(40)
                        .set(REPORT_AGE, 5e9)
                        .run(40)
                        .set(FAILING, 0)
                        .run(200);
        assertEquals("reduced", driver.level());
        assertEquals("reduced", driver.set(REPORT_AGE, 0).run(9).level());
        assertEquals("lean", driver.run(2).level());
        assertEquals(2, driver.changes.size());
        assertEquals(REPORT_AGE, driver.changes.get(1).causes().get(0).reading());
        assertEquals(1, driver.changes.get(1).causes().size());
    }

    @Test
    public void aFaultThatEndsBeforeItsHoldTimeEntersNoLevel() {
        ControllerDriver driver = new ControllerDriver();
        for (int i = 0; i < 100; i++) {
            driver.set(LATENESS, LATE_NS).run(2).set(LATENESS, 0).run(0.25);
        }
        assertTrue(driver.changes.isEmpty());
        driver.set(LATENESS, LATE_NS)
                .run(2)
                .set(LATENESS, 100e6)
                .run(1); // between the bounds, time does not count
        assertEquals("reduced", driver.set(LATENESS, LATE_NS).run(0.5).level());
    }

    @Test
    public void timeInAGapBetweenReadingsDoesNotCount() {
        ControllerDriver driver =
                new ControllerDriver()
                        .run(1)
                        .set(LATENESS, LATE_NS)
                        .step(ControllerDriver.STEP_NS)
                        .step(20_000_000_000L);
        assertTrue(driver.changes.isEmpty());
        assertEquals("reduced", driver.run(2).level());
        driver.set(LATENESS, 0).run(19);
        for (int i = 0; i < 10; i++) {
            driver.step(20_000_000_000L).step(-20_000_000_000L);
        }
        assertEquals("reduced", driver.level());
        assertEquals("lean", driver.run(2).level());
    }

    @Test
    public void unusableValuesNeitherEnterNorLeaveALevel() {
        for (Reading reading : Reading.values()) {
            for (double value : UNUSABLE) {
                if (!isUsable(reading, value)) {
                    checkUnusable(reading, value);
                }
            }
        }
        ControllerDriver driver = new ControllerDriver().set(REPORT_AGE, 5e9).run(30);
        assertEquals("none expected", "lean", driver.set(REPORT_AGE, -1).run(11).level());
    }

    /** NaN as the age of reports means that no reports are expected; 1.5 is a valid time in ns. */
    private static boolean isUsable(Reading reading, double value) {
        return (reading == REPORT_AGE && Double.isNaN(value))
                || (!reading.isShare() && value == 1.5);
    }

    private static void checkUnusable(Reading reading, double unusable) {
        String what = reading + " " + unusable;
        ControllerDriver driver = new ControllerDriver().set(reading, unusable).run(600);
        assertTrue(what, driver.changes.isEmpty());

        double enter = enterBoundOfReduced(reading);
        driver = new ControllerDriver().set(reading, enter).run(3);
        assertEquals(what, "reduced", driver.level());
        double share = driver.share("bench-state");
        assertEquals(what, "reduced", driver.set(reading, unusable).run(59).level());
        assertEquals(what, share, driver.share("bench-state"), 0);
        driver.set(reading, 0).run(0.25).set(reading, unusable).run(59);
        assertEquals(what, "reduced", driver.level());
        assertEquals(what + ", not measured", "normal", driver.run(120).level());

        driver = new ControllerDriver();
        for (int i = 0; i < 100; i++) { // every other value is unusable
            driver.set(reading, enter).run(0.25).set(reading, unusable).run(0.25);
        }
        assertEquals(what, "reduced", driver.level());
    }

    private static double enterBoundOfReduced(Reading reading) {
        return LEVELS.get(2).conditions().stream()
                .filter(condition -> condition.reading() == reading)
                .findFirst()
                .orElseThrow()
                .enter();
    }

    @Test
    public void aLevelThatFlapsStaysLongerUpToACeilingAndAsLongAsAtFirstAfterACalmTime() {
        ControllerDriver driver = new ControllerDriver();
        double stay = 20;
        for (int i = 0; i < 8; i++) {
            driver.set(FAILING, 0.2).run(1.25).set(FAILING, 0);
            assertEquals(
                    stay * 1e9,
                    driver.changes.get(driver.changes.size() - 1).stayNs(),
                    0.01e9 * stay);
            assertEquals("reduced", driver.run(stay - 0.25).level());
            assertEquals("lean", driver.run(9.25).level());
            stay =
                    Math.min(
                            300,
                            stay
                                    * 2
                                    * Math.pow(
                                            0.5, 10.25 / 120)); // the time since the level was left
        }
        assertEquals(300, stay, 0);
        driver.run(1200).set(FAILING, 0.2).run(1.25);
        assertEquals(20e9, driver.changes.get(driver.changes.size() - 1).stayNs(), 0);
    }

    @Test
    public void theShareShedFollowsTheReadingsThatSheddingRelieves() {
        ControllerDriver driver = new ControllerDriver().set(FAILING, 0.2).run(60);
        assertEquals("reduced", driver.level());
        assertEquals("shedding does not mend endpoints", 1, driver.share("bench-state"), 0);
        double some = driver.set(STARVED, 0.06).run(2).share("bench-state");
        assertTrue("by degrees: " + some, some < 0.7 && some > 0.2);
        assertEquals(
                "in between it stands",
                some,
                driver.set(STARVED, 0.03).run(60).share("bench-state"),
                1e-9);
        assertEquals(
                "all but what is kept",
                0.05,
                driver.set(STARVED, 0.06).run(60).share("bench-state"),
                1e-3);
        assertEquals(1, driver.share("bench-action"), 0);
        SheddingPolicy before = driver.controller.sheddingPolicy();
        double more = driver.set(STARVED, 0).run(6).share("bench-state");
        assertEquals("a tenth comes back in a tenth of the time", 0.05 + 0.1 * 0.95, more, 0.01);
        assertEquals(
                "what was handed out does not change",
                0.05,
                before.share("bench-state", false),
                1e-3);
        assertEquals("reduced", driver.set(FAILING, 0).run(40).level());
        assertEquals("normal", driver.run(60).level());
        assertEquals(1, driver.share("bench-state"), 0);
    }

    @Test
    public void essentialShedsAllButTheLastClass() {
        ControllerDriver driver = new ControllerDriver().set(STARVED, 0.4).run(60);
        assertEquals("essential", driver.level());
        assertEquals(0.05, driver.share("bench-state"), 1e-9);
        assertEquals(0.05, driver.share("bench-action"), 1e-3);
        assertEquals(1, driver.share("attempt-use"), 0);
    }
}
