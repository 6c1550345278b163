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

/** What holds for any sequence of readings, with unusable values and gaps among them. */
class DegradationControllerPropertyTest {
    /** A reading with one value for some time, after a step of the clock. */
    record Spell(Reading reading, double value, double seconds, long stepNs) {}

    @Provide
    Arbitrary<List<Spell>> spells() {
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
                .as(Spell::new)
                .list()
                .ofMaxSize(40);
    }

    @Property(tries = 300, seed = "42")
    void changesKeepTheirDistanceAndTheLastClassIsNeverShed(@ForAll("spells") List<Spell> spells) {
        ControllerDriver driver = new ControllerDriver();
        ChangeChecker checker = new ChangeChecker();
        for (Spell spell : spells) {
            driver.set(spell.reading(), spell.value()).step(spell.stepNs());
            boolean counts = spell.stepNs() > 0 && spell.stepNs() <= ControllerDriver.STEP_NS;
            checker.countedNs += counts ? spell.stepNs() : 0;
            for (double t = 0; t < spell.seconds(); t += 0.25) {
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

    /** Checks each change of level once, against the time that counted until then. */
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
                    change.down() || stayed >= levels.get(from).leastStayNs());
            changedAt = countedNs;
        }
    }

    @Property(tries = 300, seed = "43")
    void everyLevelIsLeftOnceAllReadingsAreLow(@ForAll("spells") List<Spell> spells) {
        ControllerDriver driver = new ControllerDriver();
        for (Spell spell : spells) {
            driver.set(spell.reading(), spell.value()).step(spell.stepNs()).run(spell.seconds());
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
