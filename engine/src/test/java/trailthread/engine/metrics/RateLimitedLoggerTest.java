package trailthread.engine.metrics;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import org.slf4j.event.Level;
import org.slf4j.helpers.NOPLogger;

/** A log's lines are limited per second. */
public class RateLimitedLoggerTest {
    private static final long SECOND_NS = 1_000_000_000L;

    private long now = 5 * SECOND_NS;

    @Test
    public void linesBeyondTheLimitWaitForTheNextSecond() {
        RateLimitedLogger log =
                new RateLimitedLogger(NOPLogger.NOP_LOGGER, Level.INFO, 2, () -> now);
        assertTrue(log.tryAcquire());
        assertTrue(log.tryAcquire());
        now += SECOND_NS - 1;
        assertFalse(log.tryAcquire());
        now++;
        assertTrue(log.tryAcquire());
        log.disable();
        assertFalse(log.tryAcquire());
    }
}
