package trailthread.degradation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static trailthread.degradation.Reading.FAILING;
import static trailthread.degradation.Reading.LATENESS;
import static trailthread.degradation.Reading.REPORT_AGE;
import static trailthread.degradation.Reading.STARVED;

import java.util.List;
import org.junit.Test;

/** When levels change, and when they must not. */
public class DegradationControllerTest {
    private static final List<DegradationLevel> LEVELS = DegradationPlan.defaults();
    private static final double LATE = 0.5e9;

    @Test
    public void eachConditionEntersItsLevelAfterItsTimeAndHoldsItUntilUnderItsLowerBound() {
        for (DegradationLevel l : LEVELS) {
            for (Condition c : l.conditions()) {
                String what = l.name() + " by " + c.reading();
                ControllerDriver under =
                        new ControllerDriver().set(c.reading(), Math.nextDown(c.enter())).run(60);
                assertTrue(what, LEVELS.indexOf(under.levels.level()) < LEVELS.indexOf(l));
                ControllerDriver f =
                        new ControllerDriver().set(c.reading(), c.enter()).run(c.holdNs() / 1e9);
                assertTrue(what, LEVELS.indexOf(f.levels.level()) < LEVELS.indexOf(l));
                assertEquals(what, l.name(), f.run(0.25).level());
                Change.Cause cause = f.changes.get(f.changes.size() - 1).causes().get(0);
                assertEquals(new Change.Cause(c.reading(), c.enter(), c.enter()), cause);
                assertEquals(what, l.name(), f.set(c.reading(), c.leave()).run(600).level());
                f.set(c.reading(), Math.nextDown(c.leave())).run(l.leaveNs() / 1e9);
                assertEquals(what, l.name(), f.level());
                f.run(61); // what is shed comes back first
                assertEquals(what, LEVELS.indexOf(l) - 1, LEVELS.indexOf(f.levels.level()), 1);
                assertEquals(what, "normal", f.set(c.reading(), 0).run(180).level());
            }
        }
    }

    @Test
    public void downSeveralAtOnceAndUpOneAtATime() {
        ControllerDriver f =
                new ControllerDriver().set(FAILING, 0.6).run(3).set(FAILING, 0).run(300);
        assertEquals(
                List.of(
                        "level normal -> reduced: failing 0.600 >= 0.150, stays 20 s or longer",
                        "level reduced -> essential: failing 0.600 >= 0.500, stays 30 s or longer",
                        "level essential -> reduced: failing 0.000 < 0.350, stays 20 s or longer",
                        "level reduced -> lean: failing 0.000 < 0.110, stays 10 s or longer",
                        "level lean -> normal: none of its conditions holds, stays 0 s or longer"),
                f.changes.stream().map(Change::toString).toList());
    }

    @Test
    public void swingsEverySecondChangeNothingAndTheWorstSwingsLittle() {
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
        ControllerDriver f = new ControllerDriver();
        for (double t = 0; t < 600; t += bad + well) {
            f.set(FAILING, 0.2).run(bad).set(FAILING, 0).run(well);
        }
        return f;
    }

    @Test
    public void faultsThatOverlapKeepTheLevelUntilBothAreOver() {
        ControllerDriver f =
                new ControllerDriver()
                        .set(FAILING, 0.3)
                        .run(40)
                        .set(REPORT_AGE, 5e9)
                        .run(40)
                        .set(FAILING, 0)
                        .run(200);
        assertEquals("reduced", f.level());
        assertEquals("reduced", f.set(REPORT_AGE, 0).run(9).level());
        assertEquals("lean", f.run(2).level());
        assertEquals(2, f.changes.size());
        assertEquals(REPORT_AGE, f.changes.get(1).causes().get(0).reading());
        assertEquals(1, f.changes.get(1).causes().size());
    }

    @Test
    public void aFaultThatEndsWhileItsLevelIsBeingEnteredEntersNothing() {
        ControllerDriver f = new ControllerDriver();
        for (int i = 0; i < 100; i++) {
            f.set(LATENESS, LATE).run(2).set(LATENESS, 0).run(0.25);
        }
        assertTrue(f.changes.isEmpty());
        f.set(LATENESS, LATE)
                .run(2)
                .set(LATENESS, 100e6)
                .run(1); // in between the time stands still
        assertEquals("reduced", f.set(LATENESS, LATE).run(0.5).level());
    }

    @Test
    public void aGapCountsForNothing() {
        ControllerDriver f =
                new ControllerDriver()
                        .run(1)
                        .set(LATENESS, LATE)
                        .jump(ControllerDriver.STEP)
                        .jump(20_000_000_000L);
        assertTrue(f.changes.isEmpty());
        assertEquals("reduced", f.run(2).level());
        f.set(LATENESS, 0).run(19);
        for (int i = 0; i < 10; i++) {
            f.jump(20_000_000_000L).jump(-20_000_000_000L);
        }
        assertEquals("reduced", f.level());
        assertEquals("lean", f.run(2).level());
    }

    @Test
    public void absurdValuesEnterNothingAndLeaveNothing() {
        for (Reading r : Reading.values()) {
            for (double absurd :
                    new double[] {
                        Double.NaN,
                        -0.5,
                        -2e9,
                        1.5,
                        Double.POSITIVE_INFINITY,
                        Double.NEGATIVE_INFINITY
                    }) {
                if ((r == REPORT_AGE && Double.isNaN(absurd)) || (!r.isShare() && absurd == 1.5)) {
                    continue; // no reports expected; 1.5 ns
                }
                String what = r + " " + absurd;
                assertTrue(what, new ControllerDriver().set(r, absurd).run(600).changes.isEmpty());
                Condition c =
                        LEVELS.get(2).conditions().stream()
                                .filter(x -> x.reading() == r)
                                .findFirst()
                                .orElseThrow();
                ControllerDriver f = new ControllerDriver().set(r, c.enter()).run(3);
                assertEquals(what, "reduced", f.level());
                double share = f.share("bench-state");
                assertEquals(what, "reduced", f.set(r, absurd).run(59).level());
                assertEquals(what, share, f.share("bench-state"), 0);
                assertEquals(what, "reduced", f.set(r, 0).run(0.25).set(r, absurd).run(59).level());
                assertEquals(what + ", not measured", "normal", f.run(120).level());
                f = new ControllerDriver();
                for (int i = 0; i < 100; i++) { // every other one absurd
                    f.set(r, c.enter()).run(0.25).set(r, absurd).run(0.25);
                }
                assertEquals(what, "reduced", f.level());
            }
        }
        ControllerDriver f = new ControllerDriver().set(REPORT_AGE, 5e9).run(30);
        assertEquals("none expected", "lean", f.set(REPORT_AGE, -1).run(11).level());
    }

    @Test
    public void aLevelThatFlapsStaysLongerUpToAMostAndAfterACalmTimeNoLonger() {
        ControllerDriver f = new ControllerDriver();
        double stay = 20;
        for (int i = 0; i < 8; i++) {
            f.set(FAILING, 0.2).run(1.25).set(FAILING, 0);
            assertEquals(stay * 1e9, f.changes.get(f.changes.size() - 1).stayNs(), 0.01e9 * stay);
            assertEquals("reduced", f.run(stay - 0.25).level());
            assertEquals("lean", f.run(9.25).level());
            stay = Math.min(300, stay * 2 * Math.pow(0.5, 10.25 / 120)); // so long out of it
        }
        assertEquals(300, stay, 0);
        f.run(1200).set(FAILING, 0.2).run(1.25);
        assertEquals(20e9, f.changes.get(f.changes.size() - 1).stayNs(), 0);
    }

    @Test
    public void theShareThatIsShedFollowsTheTroubleThatSheddingRelieves() {
        ControllerDriver f = new ControllerDriver().set(FAILING, 0.2).run(60);
        assertEquals("reduced", f.level());
        assertEquals("shedding does not mend workers", 1, f.share("bench-state"), 0);
        double some = f.set(STARVED, 0.06).run(2).share("bench-state");
        assertTrue("by degrees: " + some, some < 0.7 && some > 0.2);
        assertEquals(
                "in between it stands",
                some,
                f.set(STARVED, 0.03).run(60).share("bench-state"),
                1e-9);
        assertEquals(
                "all but what is kept",
                0.05,
                f.set(STARVED, 0.06).run(60).share("bench-state"),
                1e-3);
        assertEquals(1, f.share("bench-action"), 0);
        SheddingPolicy before = f.levels.allowance();
        double more = f.set(STARVED, 0).run(6).share("bench-state");
        assertEquals("a tenth comes back in a tenth of the time", 0.05 + 0.1 * 0.95, more, 0.01);
        assertEquals(
                "what was handed out does not change",
                0.05,
                before.share("bench-state", false),
                1e-3);
        assertEquals("reduced", f.set(FAILING, 0).run(40).level());
        assertEquals("normal", f.run(60).level());
        assertEquals(1, f.share("bench-state"), 0);
    }

    @Test
    public void essentialShedsAllButTheLast() {
        ControllerDriver f = new ControllerDriver().set(STARVED, 0.4).run(60);
        assertEquals("essential", f.level());
        assertEquals(0.05, f.share("bench-state"), 1e-9);
        assertEquals(0.05, f.share("bench-action"), 1e-3);
        assertEquals(1, f.share("attempt-use"), 0);
    }
}
