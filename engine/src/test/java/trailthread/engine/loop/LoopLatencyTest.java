package trailthread.engine.loop;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** What a thread can know of when something came that it has read. */
public class LoopLatencyTest {
    private static final long MS = 1_000_000L;
    private final LoopLatency turns = new LoopLatency(0);

    private void turn(long from, long until) {
        assertTrue(turns.serves(from));
        turns.served(until);
    }

    @Test
    public void whatWokeItHasJustCome() {
        turn(10 * MS, 11 * MS);
        assertTrue(turns.serves(30 * MS));
        assertEquals(30 * MS, turns.notBefore());
        assertEquals(30 * MS, turns.lookedAt(31 * MS));
        assertFalse("one look a turn", turns.serves(32 * MS));
        assertEquals(30 * MS, turns.lookedAt(32 * MS));
        assertEquals(0, turns.latenessNs(32 * MS));
    }

    @Test
    public void whatWasThereWhenItLookedMayHaveComeAtAnyTimeSinceTheLookBefore() {
        turn(10 * MS, 11 * MS);
        turns.runs(11 * MS);
        turns.ran(29 * MS);
        assertTrue(turns.serves(29 * MS + 50_000));
        assertEquals(10 * MS, turns.notBefore());
        assertEquals(29 * MS + 50_000, turns.lookedAt(40 * MS));
        assertEquals(19 * MS + 50_000, turns.latenessNs(29 * MS + 50_000));
    }

    /** Two quiet seconds with a timer now and then passed for two seconds of lateness. */
    @Test
    public void aTimerThatRunsAfterASleepTellsThatNoSocketWasReady() {
        turn(10 * MS, 11 * MS);
        for (long at = 60 * MS; at <= 2010 * MS; at += 50 * MS) {
            turns.runs(at);
            turns.ran(at + MS / 10);
        }
        assertTrue(turns.serves(2010 * MS + MS / 10 + 20_000));
        assertEquals("the last timer's look", 2010 * MS, turns.notBefore());
        assertTrue(turns.latenessNs(2011 * MS) < MS);
    }

    @Test
    public void aLongTurnIsNotForgottenForAShortPauseAfterIt() {
        turn(10 * MS, 500 * MS);
        assertTrue(turns.serves(510 * MS));
        assertEquals(10 * MS, turns.notBefore());
    }

    /**
     * Then no later gap is long enough to pass for a sleep: only a look ends it, which the loop has
     * to bring about.
     */
    @Test
    public void afterALongTurnItIsUnseenUntilALookIsKnownOf() {
        turn(10 * MS, 11 * MS);
        assertEquals("it has slept", 0, turns.unseenNs(60 * MS));
        turns.runs(60 * MS);
        turns.ran(460 * MS);
        assertEquals(400 * MS, turns.unseenNs(460 * MS));
        for (long at = 510 * MS; at <= 2010 * MS; at += 50 * MS) {
            turns.runs(at);
            turns.ran(at + 1);
        }
        assertEquals(1950 * MS, turns.unseenNs(2010 * MS));
        assertTrue(turns.serves(2011 * MS));
        assertEquals("under way", 0, turns.unseenNs(2012 * MS));
        turns.served(2012 * MS);
        assertEquals(1 * MS, turns.unseenNs(2012 * MS));
    }

    @Test
    public void aTaskThatReadsByTheWayHasLookedAtNoOtherSocket() {
        turn(10 * MS, 11 * MS);
        turns.runs(11 * MS);
        assertFalse(turns.serves(20 * MS));
        assertEquals(10 * MS, turns.notBefore());
        assertEquals(21 * MS, turns.lookedAt(21 * MS));
        turns.ran(22 * MS);
        assertTrue(turns.serves(22 * MS + 1));
        assertEquals("the look before was at 10", 10 * MS, turns.notBefore());
    }

    @Test
    public void theWorstLatenessFadesByHalfEachSecond() {
        turns.timer(100 * MS, 500 * MS);
        assertEquals(400 * MS, turns.latenessNs(500 * MS));
        turns.timer(500 * MS, 510 * MS);
        assertEquals(100 * MS, turns.latenessNs(2500 * MS));
        turns.timer(2400 * MS, 2600 * MS);
        assertEquals(200 * MS, turns.latenessNs(2600 * MS));
    }
}
