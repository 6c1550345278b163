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

/** What holds for any sequence of readings, absurd ones and gaps among them. */
class AnyReadingsTest {
    /** Some values for some time. */
    record Spell(Reading reading, double value, double seconds, long jumpNs) {}

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
        Arbitrary<Long> jumps =
                Arbitraries.of(1L, ControllerDriver.STEP, 20_000_000_000L, -5_000_000_000L);
        Arbitrary<Double> seconds = Arbitraries.doubles().between(0, 45);
        return Combinators.combine(Arbitraries.of(Reading.class), values, seconds, jumps)
                .as(Spell::new)
                .list()
                .ofMaxSize(40);
    }

    @Property(tries = 300, seed = "42")
    void changesKeepTheirDistanceAndTheLastClassIsNeverShed(@ForAll("spells") List<Spell> spells) {
        ControllerDriver f = new ControllerDriver();
        long lived = 0;
        long changedAt = 0;
        int seen = 0;
        List<DegradationLevel> order = DegradationPlan.defaults();
        for (Spell s : spells) {
            f.set(s.reading(), s.value()).jump(s.jumpNs());
            lived += s.jumpNs() > 0 && s.jumpNs() <= ControllerDriver.STEP ? s.jumpNs() : 0;
            for (double t = 0; t < s.seconds(); t += 0.25) {
                if (t > 0) {
                    f.jump(ControllerDriver.STEP);
                    lived += ControllerDriver.STEP;
                }
                for (; seen < f.changes.size(); seen++) {
                    Change c = f.changes.get(seen);
                    int from = order.indexOf(named(order, c.from()));
                    int to = order.indexOf(named(order, c.to()));
                    assertEquals(c.down(), to > from);
                    assertTrue("up by one: " + c, to >= from - 1);
                    long stayed = lived - changedAt;
                    assertTrue(
                            "left too soon: " + c,
                            c.down() || stayed >= order.get(from).leastStayNs());
                    changedAt = lived;
                }
                double polls = f.share("bench-state");
                double actions = f.share("bench-action");
                assertEquals(1, f.share("attempt-use"), 0);
                assertTrue(polls > 0.05 - 1e-9 && polls <= actions && actions <= 1);
                assertTrue("one after the other", actions == 1 || polls < 0.05 + 1e-9);
            }
        }
    }

    @Property(tries = 300, seed = "43")
    void onceAllIsWellEveryLevelIsLeft(@ForAll("spells") List<Spell> spells) {
        ControllerDriver f = new ControllerDriver();
        for (Spell s : spells) {
            f.set(s.reading(), s.value()).jump(s.jumpNs()).run(s.seconds());
        }
        for (Reading r : Reading.values()) {
            f.set(r, 0);
        }
        f.run(3 * 300 + 2 * 60 + 2 * 10 + 5);
        assertEquals("normal", f.level());
        assertEquals(1, f.share("bench-state"), 0);
    }

    private static DegradationLevel named(List<DegradationLevel> levels, String name) {
        return levels.stream().filter(l -> l.name().equals(name)).findFirst().orElseThrow();
    }
}
