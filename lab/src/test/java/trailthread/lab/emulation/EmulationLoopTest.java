package trailthread.lab.emulation;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import org.junit.Test;

/** The loop reports when a busy machine made it run its events too late. */
public class EmulationLoopTest {
    private static boolean isLateWithEventsOf(long eventDurationMs) throws IOException {
        try (EmulationLoop loop = new EmulationLoop()) {
            for (int i = 0; i < 50; i++) {
                loop.eventQueue()
                        .scheduleAfter(
                                i * 1_000_000L,
                                () -> {
                                    try {
                                        Thread.sleep(eventDurationMs);
                                    } catch (InterruptedException e) {
                                        throw new AssertionError(e);
                                    }
                                });
            }
            loop.runUntil(System.nanoTime() + 51_000_000L);
            return loop.wasLate();
        }
    }

    @Test
    public void loopIsLateWhenEventsBlockIt() throws IOException {
        assertTrue(isLateWithEventsOf(5));
    }

    @Test
    public void loopWithoutEventsIsNotLate() throws IOException {
        try (EmulationLoop loop = new EmulationLoop()) {
            loop.runUntil(System.nanoTime() + 5_000_000L);
            assertFalse(loop.wasLate());
        }
    }
}
