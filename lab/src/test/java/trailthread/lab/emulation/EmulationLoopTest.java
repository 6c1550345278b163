package trailthread.lab.emulation;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import org.junit.Test;

/** A run on a machine that was too busy is no result. */
public class EmulationLoopTest {
    private static boolean late(long eachBlocksMs) throws IOException {
        try (EmulationLoop loop = new EmulationLoop()) {
            for (int i = 0; i < 50; i++) {
                loop.eventQueue()
                        .scheduleAfter(
                                i * 1_000_000L,
                                () -> {
                                    try {
                                        Thread.sleep(eachBlocksMs);
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
    public void aLateRunIsMarked() throws IOException {
        assertTrue(late(5));
    }

    @Test
    public void oneWithoutAnythingToDoIsNot() throws IOException {
        try (EmulationLoop loop = new EmulationLoop()) {
            loop.runUntil(System.nanoTime() + 5_000_000L);
            assertFalse(loop.wasLate());
        }
    }
}
