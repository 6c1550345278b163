package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** Which latency is reported for a response whose arrival is known only by two bounds. */
public class LatencySamplerTest {
    private static final long MS = 1_000_000L;
    private final LatencySampler sampler = new LatencySampler(4 * MS);

    private long sample(long atLeastMs, long atMostMs) {
        long sample = sampler.sample(atLeastMs * MS, atMostMs * MS);
        return sample == LatencySampler.UNKNOWN ? sample : Math.round(sample / (double) MS);
    }

    @Test
    public void anExactLatencyIsReportedExactly() {
        assertEquals(20, sample(20, 20));
        assertEquals(90, sample(90, 90));
        assertEquals(20, sample(18, 22));
    }

    /**
     * Prevents endpoints that take 20 ms from being reported with 7 ms, the middle of such bounds,
     * and from looking overloaded after that.
     */
    @Test
    public void noLatencyIsReportedWhileTheNodeIsLateFromTheStart() {
        for (int i = 0; i < 100; i++) {
            assertEquals(LatencySampler.UNKNOWN, sample(0, 15 + i));
        }
    }

    /** Prevents short latencies from being the only samples while the node is late. */
    @Test
    public void shortResponsesAreReportedNoSoonerThanLongOnes() {
        sample(20, 20);
        assertEquals(LatencySampler.UNKNOWN, sample(0, 9));
        assertEquals(LatencySampler.UNKNOWN, sample(50, 59));
        assertEquals(3, sample(0, 6));
        assertEquals(53, sample(50, 56));
    }

    @Test
    public void aLatencyFarAboveUsualForCertainIsReported() {
        sample(20, 20);
        assertEquals(LatencySampler.UNKNOWN, sample(2, 150));
        assertEquals(LatencySampler.UNKNOWN, sample(50, 150));
        assertEquals(70, sample(70, 200));
    }

    @Test
    public void aGapWithinTheToleranceIsIgnored() {
        assertEquals(2, sample(0, 4));
        assertEquals(1, sample(0, 1));
    }

    @Test
    public void aLastingSlowdownIsLearnedThroughWideBounds() {
        sample(20, 20);
        for (int i = 0; i < 100; i++) {
            sample(100, 300);
        }
        assertEquals(
                "100 ms is less than three times the usual latency by now",
                LatencySampler.UNKNOWN,
                sample(100, 300));
        assertEquals(34, sample(30, 38));
    }
}
