package trailthread.engine.loop;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** The bounds between which input has arrived, and the lateness of the loop. */
public class LoopLatencyTest {
    private static final long MS = 1_000_000L;
    private final LoopLatency latency = new LoopLatency(0);

    private void serveSockets(long from, long until) {
        assertTrue(latency.beforeServingSocket(from));
        latency.afterServingSockets(until);
    }

    @Test
    public void inputThatEndsABlockedPollHasJustArrived() {
        serveSockets(10 * MS, 11 * MS);
        assertTrue(latency.beforeServingSocket(30 * MS));
        assertEquals(30 * MS, latency.arrivedNotBefore());
        assertEquals(30 * MS, latency.arrivedBy(31 * MS));
        assertFalse("a second socket of the same poll", latency.beforeServingSocket(32 * MS));
        assertEquals(30 * MS, latency.arrivedBy(32 * MS));
        assertEquals(0, latency.latenessNs(32 * MS));
    }

    @Test
    public void inputFoundWithoutBlockingArrivedAtAnyTimeSinceThePollBefore() {
        serveSockets(10 * MS, 11 * MS);
        latency.beginTask(11 * MS);
        latency.endTask(29 * MS);
        assertTrue(latency.beforeServingSocket(29 * MS + 50_000));
        assertEquals(10 * MS, latency.arrivedNotBefore());
        assertEquals(29 * MS + 50_000, latency.arrivedBy(40 * MS));
        assertEquals(19 * MS + 50_000, latency.latenessNs(29 * MS + 50_000));
    }

    /**
     * Prevents two idle seconds with some timers from being recorded as two seconds of lateness.
     */
    @Test
    public void aTimerAfterABlockedPollShowsThatNoSocketWasReady() {
        serveSockets(10 * MS, 11 * MS);
        for (long at = 60 * MS; at <= 2010 * MS; at += 50 * MS) {
            latency.beginTask(at);
            latency.endTask(at + MS / 10);
        }
        assertTrue(latency.beforeServingSocket(2010 * MS + MS / 10 + 20_000));
        assertEquals("the poll before the last timer", 2010 * MS, latency.arrivedNotBefore());
        assertTrue(latency.latenessNs(2011 * MS) < MS);
    }

    @Test
    public void aPauseShorterThanTheIterationIsNotABlockedPoll() {
        serveSockets(10 * MS, 500 * MS);
        assertTrue(latency.beforeServingSocket(510 * MS));
        assertEquals(10 * MS, latency.arrivedNotBefore());
    }

    /**
     * After a long task, no gap between tasks is long enough to count as a blocked poll. This ends
     * only with a poll that is known, so the loop must make one known.
     */
    @Test
    public void afterALongTaskSocketsCountAsUnpolledUntilAPollIsKnown() {
        serveSockets(10 * MS, 11 * MS);
        assertEquals("the thread has blocked", 0, latency.unpolledNs(60 * MS));
        latency.beginTask(60 * MS);
        latency.endTask(460 * MS);
        assertEquals(400 * MS, latency.unpolledNs(460 * MS));
        for (long at = 510 * MS; at <= 2010 * MS; at += 50 * MS) {
            latency.beginTask(at);
            latency.endTask(at + 1);
        }
        assertEquals(1950 * MS, latency.unpolledNs(2010 * MS));
        assertTrue(latency.beforeServingSocket(2011 * MS));
        assertEquals("sockets are being served", 0, latency.unpolledNs(2012 * MS));
        latency.afterServingSockets(2012 * MS);
        assertEquals(1 * MS, latency.unpolledNs(2012 * MS));
    }

    @Test
    public void aReadWithinATaskIsNoPollOfTheOtherSockets() {
        serveSockets(10 * MS, 11 * MS);
        latency.beginTask(11 * MS);
        assertFalse(latency.beforeServingSocket(20 * MS));
        assertEquals(10 * MS, latency.arrivedNotBefore());
        assertEquals(21 * MS, latency.arrivedBy(21 * MS));
        latency.endTask(22 * MS);
        assertTrue(latency.beforeServingSocket(22 * MS + 1));
        assertEquals("the poll before was at 10 ms", 10 * MS, latency.arrivedNotBefore());
    }

    @Test
    public void theWorstLatenessDecaysByHalfEachSecond() {
        latency.recordTimerLateness(100 * MS, 500 * MS);
        assertEquals(400 * MS, latency.latenessNs(500 * MS));
        latency.recordTimerLateness(500 * MS, 510 * MS);
        assertEquals(100 * MS, latency.latenessNs(2500 * MS));
        latency.recordTimerLateness(2400 * MS, 2600 * MS);
        assertEquals(200 * MS, latency.latenessNs(2600 * MS));
    }
}
