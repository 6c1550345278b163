package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** Which incomplete responses are streamed, and until when they may stay incomplete. */
public class ResponseProgressTest {
    private static final long MS = 1_000_000;
    private static final long REQUEST_NS = 1_200 * MS;
    private static final int UNKNOWN = -1;
    private static final int LONG = ResponseProgress.MAX_SHORT_BYTES + 1;

    private static ResponseProgress received(int bytes, long... timesMs) {
        ResponseProgress progress = new ResponseProgress(UNKNOWN, REQUEST_NS);
        for (long timeMs : timesMs) {
            progress.pieceReceived(bytes, timeMs * MS);
        }
        return progress;
    }

    private static boolean shouldStream(ResponseProgress progress, long nowMs) {
        return progress.shouldStream(nowMs * MS, REQUEST_NS);
    }

    private static long dueAtMs(ResponseProgress progress, long nowMs) {
        return progress.dueAt(nowMs * MS, REQUEST_NS) / MS;
    }

    @Test
    public void aLongResponseIsStreamedAtOnceAndOnlySilenceEndsIt() {
        ResponseProgress stated = new ResponseProgress(LONG, REQUEST_NS);
        stated.pieceReceived(1, 0);
        ResponseProgress unstated = received(LONG, 0);
        for (ResponseProgress progress : List.of(stated, unstated)) {
            assertTrue(progress.mayOutlastTimeout());
            assertTrue(shouldStream(progress, 0));
            assertEquals(ResponseProgress.NEVER, progress.dueAt(REQUEST_NS, REQUEST_NS));
            assertEquals(ResponseProgress.NEVER, progress.dueAt(50 * REQUEST_NS, REQUEST_NS));
        }
    }

    @Test
    public void theHeadOfALongResponseIsPassedOnByTheDeadline() {
        ResponseProgress stated = new ResponseProgress(LONG, REQUEST_NS);
        assertTrue(stated.mayOutlastTimeout());
        assertFalse("a retry is still possible", shouldStream(stated, 1_199));
        assertEquals(1_200, dueAtMs(stated, 300));
        assertTrue(shouldStream(stated, 1_200));
        assertEquals(ResponseProgress.NEVER, stated.dueAt(REQUEST_NS, REQUEST_NS));
    }

    @Test
    public void aShortResponseOfStatedLengthHasItsTimeAndNoMore() {
        ResponseProgress progress = new ResponseProgress(LONG - 1, REQUEST_NS);
        progress.pieceReceived(LONG - 2, 1_100 * MS);
        assertFalse(shouldStream(progress, 1_200));
        assertFalse(progress.mayOutlastTimeout());
        assertEquals(1_200, dueAtMs(progress, 1_200));
    }

    @Test
    public void aResponseThatGoesOnIsStreamedAfterHalfOfItsTime() {
        ResponseProgress progress = received(4_000, 0, 300, 599);
        assertFalse(shouldStream(progress, 599));
        progress.pieceReceived(4_000, 600 * MS);
        assertTrue(shouldStream(progress, 600));
        assertTrue(progress.mayOutlastTimeout());
    }

    @Test
    public void aSilentResponseIsHeldForLessThanHalfASecondAfterItsTime() {
        ResponseProgress progress = received(30_000, 0, 500);
        assertTrue("it still goes on", shouldStream(progress, 1_099));
        assertFalse(shouldStream(progress, 1_100));
        assertFalse(shouldStream(progress, 1_200));
        assertEquals(1_650, dueAtMs(progress, 1_200));
        assertEquals(1_650, dueAtMs(progress, 1_650));
        progress.pieceReceived(LONG - 60_000, 1_649 * MS);
        assertTrue("it has become long", shouldStream(progress, 1_649));
        assertEquals(ResponseProgress.NEVER, progress.dueAt(60_000 * MS, REQUEST_NS));
    }

    @Test
    public void aResponseWithoutABodyIsHeldForLessThanHalfASecondAfterItsTime() {
        ResponseProgress progress = received(1);
        assertFalse(shouldStream(progress, 1_649));
        assertEquals(1_650, dueAtMs(progress, 1_200));
        progress.pieceReceived(30_000, 1_600 * MS);
        assertTrue("its first bytes are overdue", shouldStream(progress, 1_600));
    }

    @Test
    public void aResponseThatGoesOnAfterItsTimeMayPauseForASecond() {
        ResponseProgress progress = received(10_000, 0, 600, 1_250);
        assertTrue(shouldStream(progress, 1_250));
        assertEquals(2_250, dueAtMs(progress, 1_650));
        progress.pieceReceived(10_000, 2_200 * MS);
        assertEquals(3_200, dueAtMs(progress, 2_250));
    }

    @Test
    public void aResponseThatTricklesIsNotStreamed() {
        ResponseProgress progress = received(1, 0, 300, 600, 900, 1_199, 1_400);
        assertFalse(shouldStream(progress, 1_199));
        assertFalse(shouldStream(progress, 1_400));
        assertEquals(1_650, dueAtMs(progress, 1_650));
        assertFalse(progress.hasPace(1_650 * MS));
    }

    @Test
    public void theTimeOfASlowClientIsNotTheEndpoints() {
        ResponseProgress progress = received(4_000, 0, 100);
        progress.clientHeldUp(5_100 * MS);
        assertTrue(progress.hasPace(5_200 * MS));
        assertEquals(0, progress.silentNs(5_100 * MS));
        assertEquals(6_100, dueAtMs(progress, 5_200));
    }
}
