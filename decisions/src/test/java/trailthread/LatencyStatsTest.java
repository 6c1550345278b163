package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.SECOND;

import org.junit.jupiter.api.Test;

/** With a mean objective of 200 ms, the decay time is 5 * 200 ms = 1 s. */
final class LatencyStatsTest {
    private final LatencyStats stats = new LatencyStats();

    private void record(double latencyNs, long now) {
        stats.record(latencyNs, 0, 200 * MS, 300 * SECOND, now);
    }

    @Test
    void oneVeryLongResponseMovesTheLogarithmByATenth() {
        record(100 * MS, NOW);
        record(10_000 * MS, NOW);
        assertEquals(100 * MS * Math.pow(100, 0.1), stats.latencyNs(), 1);
    }

    @Test
    void responseAfterALongGapOutweighsOlderOnes() {
        record(100 * MS, NOW);
        record(10_000 * MS, NOW + SECOND);
        double weight = 1 - 1 / Math.E;
        assertEquals(100 * MS * Math.pow(100, weight), stats.latencyNs(), 1);
        assertEquals(1 + 1 / Math.E, stats.recentResponses(NOW + SECOND, 200 * MS), 1e-9);
    }

    @Test
    void idleLatencyIsUnknownAtFirstAndNotTheMinimumOfANoisyMean() {
        for (int i = 0; i < 12; i++) {
            record((i % 2 == 0 ? 10 : 40) * MS, NOW);
        }
        assertEquals(0, stats.idleNs());
        for (int i = 12; i < 500; i++) {
            record((i % 2 == 0 ? 10 : 40) * MS, NOW);
        }
        // The geometric mean of 10 and 40 ms, within a tenth.
        assertEquals(20 * MS, stats.idleNs(), 2 * MS);
    }

    /**
     * The idle latency drifts up by its own value in 300 s, so in 60 s it grows by a factor of at
     * most e^0.2.
     */
    @Test
    void overloadRaisesTheIdleLatencyOnlyByItsDrift() {
        long now = NOW;
        for (int i = 0; i < 13; i++) {
            record(20 * MS, now);
        }
        for (int i = 0; i < 600; i++) {
            now += 100 * MS;
            record(100 * MS, now);
        }
        assertTrue(stats.latencyNs() > 99 * MS, "" + stats.latencyNs());
        assertEquals(20 * MS * Math.exp(0.2), stats.idleNs(), 0.1 * MS);
    }

    /**
     * An endpoint twice as slow as all together counts with a third of that, in logarithms, after
     * one response.
     */
    @Test
    void relativeSlownessCountsMoreWithMoreResponses() {
        LatencyStats all = new LatencyStats();
        all.record(100 * MS, 0, 200 * MS, 300 * SECOND, NOW);
        record(200 * MS, NOW);
        assertEquals(Math.log(2) / 3, stats.relativeSlowness(all), 1e-9);
        for (int i = 1; i < 18; i++) {
            record(200 * MS, NOW);
        }
        assertEquals(Math.log(2) * 0.9, stats.relativeSlowness(all), 1e-9);
    }
}
