package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** Exponentially weighted means: the first value counts in full, later ones by their weight. */
class WorkloadMeansTest {
    private final WorkloadMeans means = new WorkloadMeans(200);

    /** An average over forty responses: 100 + (500 - 100) / 40. */
    @Test
    void aResponseMovesTheMeanLatencyByAFortieth() {
        means.recordLatency(100);
        means.recordLatency(500);
        assertEquals(110, means.latencyNs(), 1e-9);
    }

    /** An average over a hundred requests: 10 + (110 - 10) / 100 = 11. */
    @Test
    void aRequestMovesTheMeanWorkByAHundredthIfItAnnouncesAny() {
        means.recordWork(10);
        means.recordWork(110);
        means.recordWork(0);
        assertEquals(2, means.relativeWork(22), 1e-9);
        assertEquals(1, means.relativeWork(0));
        assertFalse(means.canCompare(0));
    }

    /** 200 + 0.5 * (1000 - 200) = 600; a request without weight still counts for a thousandth. */
    @Test
    void aRequestMovesTheMeanObjectiveByItsShareOfAllWeight() {
        means.recordObjective(1000, 0.5);
        assertEquals(600, means.objectiveNs(), 1e-9);
        means.recordObjective(1000, 0);
        assertEquals(600.4, means.objectiveNs(), 1e-9);
    }
}
