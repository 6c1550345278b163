package trailthread.engine.loop;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.Test;

/** Compares the wheel with a plain list of timers, under random schedules. */
public class TimerWheelTest {
    private static final long MS = 1_000_000L;

    private record Pending(TimerWheel.Timer timer, int number) {}

    @Test
    public void eachTimerIsDueOnceInItsTickAndNeverEarly() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long now = random.nextLong(1L << 50);
            TimerWheel wheel = new TimerWheel(now);
            List<Pending> pending = new ArrayList<>();
            for (int step = 0; step < 300; step++) {
                for (int i = random.nextInt(4); i > 0; i--) {
                    long delay = random.nextLong(random.nextInt(5) == 0 ? 9_000 * MS : 40 * MS);
                    pending.add(new Pending(wheel.schedule(now + delay, () -> {}), step));
                }
                if (!pending.isEmpty() && random.nextInt(3) == 0) {
                    assertTrue(pending.remove(random.nextInt(pending.size())).timer.remove());
                }
                assertTrue(
                        "the next tick is not after any pending timer's tick",
                        pending.stream()
                                .allMatch(
                                        p ->
                                                wheel.nextTickAt()
                                                        <= TimerWheel.tickOf(p.timer.dueAt)
                                                                << TimerWheel.TICK_BITS));
                now +=
                        random.nextInt(50) == 0
                                ? random.nextLong(10_000 * MS)
                                : random.nextLong(3 * MS);
                long tick = now >> TimerWheel.TICK_BITS;
                List<TimerWheel.Timer> due = wheel.removeDue(now);
                long lastTick = 0;
                for (TimerWheel.Timer timer : due) {
                    assertTrue(timer.dueAt <= now);
                    assertTrue(
                            "in the order of their ticks",
                            TimerWheel.tickOf(timer.dueAt) >= lastTick);
                    lastTick = TimerWheel.tickOf(timer.dueAt);
                    assertTrue(pending.removeIf(p -> p.timer == timer));
                }
                assertTrue(
                        "no due timer is left",
                        pending.stream().allMatch(p -> TimerWheel.tickOf(p.timer.dueAt) > tick));
            }
        }
    }

    @Test
    public void aDueTimerCanStillBeCancelled() {
        TimerWheel wheel = new TimerWheel(0);
        wheel.schedule(MS, () -> {});
        TimerWheel.Timer second = wheel.schedule(MS, () -> {});
        List<TimerWheel.Timer> due = wheel.removeDue(2 * MS);
        assertEquals(2, due.size());
        assertTrue(due.get(0).takeTask() != null);
        assertTrue("cancelled before it has run", second.remove());
        assertTrue(second.takeTask() == null);
        assertFalse(second.remove());
    }

    @Test
    public void aTimerScheduledOverdueIsDueAtTheNextTick() {
        TimerWheel wheel = new TimerWheel(500 * MS);
        wheel.schedule(100 * MS, () -> {});
        assertTrue(wheel.nextTickAt() <= 501 * MS);
        assertEquals(1, wheel.removeDue(501 * MS).size());
    }
}
