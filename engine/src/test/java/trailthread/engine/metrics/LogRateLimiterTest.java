package trailthread.engine.metrics;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** A log's lines are limited per second, and those left out are counted. */
public class LogRateLimiterTest {
    private static final long SECOND_NS = 1_000_000_000L;

    @Test
    public void linesBeyondTheLimitAreCountedUntilTheNextSecond() {
        LogRateLimiter limiter = new LogRateLimiter(2);
        long start = 5 * SECOND_NS;
        assertTrue(limiter.tryAcquire(start));
        assertTrue(limiter.tryAcquire(start + 1));
        assertFalse(limiter.tryAcquire(start + 2));
        assertFalse(limiter.tryAcquire(start + SECOND_NS - 1));
        assertTrue(limiter.tryAcquire(start + SECOND_NS));
        assertEquals(2, limiter.takeSuppressed());
        assertEquals(0, limiter.takeSuppressed());
    }
}
