package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;

/** Exponential decay over a span of a second. */
class DecayingCounterTest {
    private final DecayingCounter counter = new DecayingCounter(1000 * MS, NOW);

    /** 4 / e and 4 / e^2. */
    @Test
    void anAmountDecaysByAFactorOfEInEachSpan() {
        counter.add(NOW, 4);
        assertEquals(1.471518, counter.value(NOW + 1000 * MS), 1e-6);
        assertEquals(0.541341, counter.value(NOW + 2000 * MS), 1e-6);
    }

    @Test
    void eachAmountDecaysFromItsOwnTimeOn() {
        counter.add(NOW, 4);
        counter.add(NOW + 1000 * MS, 2);
        assertEquals((1.471518 + 2) / Math.E, counter.value(NOW + 2000 * MS), 1e-6);
    }
}
