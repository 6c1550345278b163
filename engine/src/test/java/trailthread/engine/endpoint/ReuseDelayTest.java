package trailthread.engine.endpoint;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** Connections rest longer once an endpoint has sent surplus bytes. */
public class ReuseDelayTest {
    private static final long MS = 1_000_000L;
    private static final long START = 7_000_000_000L;

    private final ReuseDelay delay = new ReuseDelay();

    @Test
    public void aSurplusLengthensTheDelayUntilItIsForgotten() {
        assertEquals(ReuseDelay.DEFAULT_NS, delay.ns(START));
        delay.surplusReceived(START, MS);
        assertEquals(ReuseDelay.MIN_AFTER_SURPLUS_NS, delay.ns(START));
        delay.surplusReceived(START + MS, 100 * MS);
        long lengthened = ReuseDelay.MARGIN * 100 * MS;
        assertEquals(lengthened, delay.ns(START + ReuseDelay.MEMORY_NS));
        assertEquals(ReuseDelay.DEFAULT_NS, delay.ns(START + MS + ReuseDelay.MEMORY_NS));
    }

    @Test
    public void anEarlierSurplusDoesNotShortenTheDelay() {
        delay.surplusReceived(START, 100 * MS);
        delay.surplusReceived(START + MS, MS);
        assertEquals(ReuseDelay.MARGIN * 100 * MS, delay.ns(START + MS));
    }

    @Test
    public void aNewConnectionRestsForARoundTrip() {
        assertEquals(3 * MS + ReuseDelay.FIRST_USE_MARGIN_NS, delay.firstUseNs(3 * MS));
        assertEquals(ReuseDelay.MAX_FIRST_USE_NS, delay.firstUseNs(1_000 * MS));
    }

    @Test
    public void theDelayIsLimited() {
        delay.surplusReceived(START, 3_000 * MS);
        assertEquals(ReuseDelay.MAX_NS, delay.ns(START));
    }

    @Test
    public void aDisabledDelayStaysZero() {
        delay.disable();
        delay.surplusReceived(START, MS);
        assertEquals(0, delay.ns(START));
        assertEquals(0, delay.firstUseNs(MS));
    }
}
