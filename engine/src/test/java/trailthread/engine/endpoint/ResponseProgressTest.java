package trailthread.engine.endpoint;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Which incomplete responses are streamed, and which of them outlast their attempt's timeout. */
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

    @Test
    public void aLongResponseIsStreamedAtOnceAndOutlastsTheTimeout() {
        ResponseProgress stated = new ResponseProgress(LONG, REQUEST_NS);
        assertFalse("nothing has been received", stated.mayOutlastTimeout(REQUEST_NS));
        stated.pieceReceived(1, 0);
        assertTrue(stated.shouldStream(0) && stated.mayOutlastTimeout(REQUEST_NS));
        ResponseProgress unstated = received(LONG, 0);
        assertTrue(unstated.shouldStream(0) && unstated.mayOutlastTimeout(REQUEST_NS));
    }

    @Test
    public void aShortResponseOfStatedLengthHasItsTimeAndNoMore() {
        ResponseProgress progress = new ResponseProgress(LONG - 1, REQUEST_NS);
        progress.pieceReceived(LONG - 2, 1_100 * MS);
        assertFalse(progress.shouldStream(REQUEST_NS));
        assertFalse(progress.mayOutlastTimeout(REQUEST_NS));
    }

    @Test
    public void aResponseThatGoesOnIsStreamedAfterHalfOfItsTime() {
        ResponseProgress progress = received(4_000, 0, 300, 599);
        assertFalse(progress.shouldStream(599 * MS));
        progress.pieceReceived(4_000, 600 * MS);
        assertTrue(progress.shouldStream(600 * MS));
        assertTrue(progress.mayOutlastTimeout(1_199 * MS));
    }

    @Test
    public void aSilentResponseHasItsTimeAndNoMore() {
        ResponseProgress progress = received(30_000, 0, 500);
        assertTrue(progress.mayOutlastTimeout(1_099 * MS));
        assertFalse(progress.mayOutlastTimeout(1_100 * MS));
        progress.pieceReceived(LONG - 60_000, 1_100 * MS);
        assertTrue("it has become long", progress.mayOutlastTimeout(60_000 * MS));
    }

    @Test
    public void aResponseThatTricklesIsNotStreamed() {
        ResponseProgress progress = received(1, 0, 300, 600, 900, 1_199);
        assertFalse(progress.shouldStream(1_199 * MS));
        assertFalse(progress.mayOutlastTimeout(REQUEST_NS));
    }

    @Test
    public void theTimeOfASlowClientIsNotTheEndpoints() {
        ResponseProgress progress = received(4_000, 0, 100);
        progress.clientHeldUp(5_100 * MS);
        assertTrue(progress.mayOutlastTimeout(5_200 * MS));
        assertFalse(progress.mayOutlastTimeout(5_700 * MS));
    }
}
