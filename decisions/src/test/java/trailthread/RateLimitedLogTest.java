package trailthread;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;
import trailthread.RateLimitedLog.Kind;

/** One line of each kind per longest deadline, here a second. */
class RateLimitedLogTest {
    private final WiredModules modules = new WiredModules();
    private final RateLimitedLog log = new RateLimitedLog(modules.actions, modules.settings, NOW);

    @Test
    void aLineOfAKindIsPermittedOnceInALongestDeadline() {
        assertTrue(log.tryAcquire(Kind.EJECTED, NOW));
        assertFalse(log.tryAcquire(Kind.EJECTED, NOW + 1000 * MS - 1));
        assertTrue(log.tryAcquire(Kind.EJECTED, NOW + 1000 * MS));
        assertFalse(log.tryAcquire(Kind.EJECTED, NOW + 1000 * MS));
    }

    @Test
    void aLineOfOneKindDoesNotHoldUpAnother() {
        for (Kind kind : Kind.values()) {
            assertTrue(log.tryAcquire(kind, NOW), kind.name());
        }
    }
}
