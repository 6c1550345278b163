package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** What is told of an answer that came at some time between two looks at the sockets. */
public class LatencySampleTest {
    private static final long MS = 1_000_000L;
    private final LatencySample endpoint = new LatencySample(4 * MS);

    private long told(long leastMs, long mostMs) {
        long told = endpoint.told(leastMs * MS, mostMs * MS);
        return told == LatencySample.UNKNOWN ? told : Math.round(told / (double) MS);
    }

    @Test
    public void whatIsKnownExactlyIsToldExactly() {
        assertEquals(20, told(20, 20));
        assertEquals(90, told(90, 90));
        assertEquals(20, told(18, 22));
    }

    /**
     * The middle of such bounds was told: 7 ms of endpoints that take 20, which then passed for
     * jammed.
     */
    @Test
    public void aNodeThatIsLateFromTheStartTellsNothing() {
        for (int i = 0; i < 100; i++) {
            assertEquals(LatencySample.UNKNOWN, told(0, 15 + i));
        }
    }

    /** Told of, they were all that was learnt of an endpoint while the node was late. */
    @Test
    public void shortAnswersAreKnownNoSoonerThanLongOnes() {
        told(20, 20);
        assertEquals(LatencySample.UNKNOWN, told(0, 9));
        assertEquals(LatencySample.UNKNOWN, told(50, 59));
        assertEquals(3, told(0, 6));
        assertEquals(53, told(50, 56));
    }

    @Test
    public void whatWasSurelyManyTimesAsSlowIsTold() {
        told(20, 20);
        assertEquals(LatencySample.UNKNOWN, told(2, 150));
        assertEquals(LatencySample.UNKNOWN, told(50, 150));
        assertEquals(70, told(70, 200));
    }

    @Test
    public void aDifferenceThatMattersToNobodyIsNone() {
        assertEquals(2, told(0, 4));
        assertEquals(1, told(0, 1));
    }

    @Test
    public void aLastingJamIsLearntThroughBoundsThatAreWide() {
        told(20, 20);
        for (int i = 0; i < 100; i++) {
            told(100, 300);
        }
        assertEquals(
                "it has been told until it was a third", LatencySample.UNKNOWN, told(100, 300));
        assertEquals(34, told(30, 38));
    }
}
