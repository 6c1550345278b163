package trailthread.degradation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Properties that hold for any sequence of readings, including unusable values and gaps. */
class DegradationControllerPropertyTest {
    /** A reading with one value for some time, after a step of the clock. */
    record ReadingPeriod(Reading reading, double value, double seconds, long stepNs) {}

    @Provide
    Arbitrary<List<ReadingPeriod>> periods() {
        Arbitrary<Double> values =
                Arbitraries.frequencyOf(
                        Tuple.of(3, Arbitraries.just(0.0)),
                        Tuple.of(3, Arbitraries.doubles().between(0, 1)),
                        Tuple.of(3, Arbitraries.doubles().between(0, 6e9)),
                        Tuple.of(
                                1,
                                Arbitraries.of(Double.NaN, -1.0, 7.0, Double.POSITIVE_INFINITY)));
        Arbitrary<Long> steps =
                Arbitraries.of(1L, ControllerDriver.STEP_NS, 20_000_000_000L, -5_000_000_000L);
        Arbitrary<Double> seconds = Arbitraries.doubles().between(0, 45);
        return Combinators.combine(Arbitraries.of(Reading.class), values, seconds, steps)
                .as(ReadingPeriod::new)
                .list()
                .ofMaxSize(40);
    }

    @Property(tries = 300, seed = "42")
    void changesKeepTheLeastStayAndTheLastClassIsNeverShed(
            @ForAll("periods") List<ReadingPeriod> periods) {
        ControllerDriver driver = new ControllerDriver();
        ChangeChecker checker = new ChangeChecker();
        for (ReadingPeriod period : periods) {
            driver.set(period.reading(), period.value()).step(period.stepNs());
            boolean counts = period.stepNs() > 0 && period.stepNs() <= ControllerDriver.STEP_NS;
            checker.countedNs += counts ? period.stepNs() : 0;
            for (double t = 0; t < period.seconds(); t += 0.25) {
                if (t > 0) {
                    driver.step(ControllerDriver.STEP_NS);
                    checker.countedNs += ControllerDriver.STEP_NS;
                }
                checker.check(driver.changes);
                checkShares(driver);
            }
        }
    }

    private static void checkShares(ControllerDriver driver) {
        double polls = driver.share("bench-state");
        double actions = driver.share("bench-action");
        assertEquals(1, driver.share("attempt-use"), 0);
        assertTrue(polls > 0.05 - 1e-9 && polls <= actions && actions <= 1);
        assertTrue("one after the other", actions == 1 || polls < 0.05 + 1e-9);
    }

    /** Checks each change of level once, against the time that has counted so far. */
    private static final class ChangeChecker {
        private final List<DegradationLevel> levels = DegradationPlan.defaults();
        private long countedNs;
        private long changedAt;
        private int checked;

        void check(List<Change> changes) {
            for (; checked < changes.size(); checked++) {
                check(changes.get(checked));
            }
        }

        private void check(Change change) {
            int from = levels.indexOf(named(levels, change.from()));
            int to = levels.indexOf(named(levels, change.to()));
            assertEquals(change.down(), to > from);
            assertTrue("up by one: " + change, to >= from - 1);
            long stayed = countedNs - changedAt;
            assertTrue(
                    "left too soon: " + change,
                    change.down() || stayed >= levels.get(from).minStayNs());
            changedAt = countedNs;
        }
    }

    @Property(tries = 300, seed = "43")
    void everyLevelIsLeftOnceAllReadingsAreLow(@ForAll("periods") List<ReadingPeriod> periods) {
        ControllerDriver driver = new ControllerDriver();
        for (ReadingPeriod period : periods) {
            driver.set(period.reading(), period.value())
                    .step(period.stepNs())
                    .run(period.seconds());
        }
        for (Reading reading : Reading.values()) {
            driver.set(reading, 0);
        }
        driver.run(3 * 300 + 2 * 60 + 2 * 10 + 5);
        assertEquals("normal", driver.level());
        assertEquals(1, driver.share("bench-state"), 0);
    }

    private static DegradationLevel named(List<DegradationLevel> levels, String name) {
        return levels.stream().filter(l -> l.name().equals(name)).findFirst().orElseThrow();
    }
}
