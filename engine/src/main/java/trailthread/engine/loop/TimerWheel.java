package trailthread.engine.loop;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.xnio.XnioExecutor;

/**
 * Timers in slots by the time at which they are due (a hashed timing wheel: Varghese and Lauck,
 * "Hashed and hierarchical timing wheels", SOSP 1987). Setting one and taking it back cost the same
 * however many there are: each call sets four, takes three of them back, and thousands are out at a
 * time. Time is handed in, in nanoseconds of the monotonic clock. No timer runs early; one runs up
 * to a tick late.
 */
final class TimerWheel {
    static final int TICK_BITS = 20; // a millisecond
    private static final int SLOTS = 2048;

    /** A timer; {@link #remove} takes it back. */
    static final class Timer implements XnioExecutor.Key {
        final long dueAt;

        /** Null once it has run or was taken back. */
        private Runnable task;

        private final Slot slot;
        private Timer before;
        private Timer after;

        private Timer(long dueAt, Runnable task, Slot slot) {
            this.dueAt = dueAt;
            this.task = task;
            this.slot = slot;
        }

        /** Whether it was still to run. */
        @Override
        public boolean remove() {
            slot.unlink(this);
            return take() != null;
        }

        /** What is to run, once. */
        Runnable take() {
            Runnable taken = task;
            task = null;
            return taken;
        }
    }

    /**
     * Timers of one tick, and of those a whole turn of the wheel earlier or later, as they were
     * set.
     */
    private static final class Slot {
        private Timer first;
        private Timer last;

        void link(Timer t) {
            t.before = last;
            if (last == null) {
                first = t;
            } else {
                last.after = t;
            }
            last = t;
        }

        void unlink(Timer t) {
            if (t.before == null && first != t) {
                return; // it is out
            }
            if (t.before == null) {
                first = t.after;
            } else {
                t.before.after = t.after;
            }
            if (t.after == null) {
                last = t.before;
            } else {
                t.after.before = t.before;
            }
            t.before = null;
            t.after = null;
        }
    }

    private final Slot[] slots = new Slot[SLOTS];

    /** All ticks up to this one have been looked at. */
    private long tick;

    TimerWheel(long now) {
        tick = now >> TICK_BITS;
        for (int i = 0; i < SLOTS; i++) {
            slots[i] = new Slot();
        }
    }

    /** The tick at whose beginning the time has come. */
    static long tickOf(long dueAt) {
        return (dueAt + (1L << TICK_BITS) - 1) >> TICK_BITS;
    }

    /** Sets a timer; one that is overdue already is due at the next tick. */
    Timer set(long dueAt, Runnable task) {
        Slot slot = slots[(int) (Math.max(tickOf(dueAt), tick + 1) % SLOTS)];
        Timer timer = new Timer(dueAt, task, slot);
        slot.link(timer);
        return timer;
    }

    /** Takes out what is due by now, in the order of the ticks at which it was. */
    List<Timer> due(long now) {
        List<Timer> due = new ArrayList<>();
        long until = now >> TICK_BITS;
        boolean turned = until - tick >= SLOTS;
        for (long t = Math.max(tick + 1, until - SLOTS + 1); t <= until; t++) {
            Slot slot = slots[(int) (t % SLOTS)];
            for (Timer timer = slot.first; timer != null; ) {
                Timer next = timer.after;
                if (tickOf(timer.dueAt) <= until) {
                    slot.unlink(timer);
                    due.add(timer);
                }
                timer = next;
            }
        }
        if (turned) { // after a pause, slots stand for several ticks each
            due.sort(Comparator.comparingLong(timer -> tickOf(timer.dueAt)));
        }
        tick = Math.max(tick, until);
        return due;
    }

    /**
     * The time of the next tick that holds timers, at the latest a turn of the wheel from now;
     * perhaps none of them is due then.
     */
    long nextAt() {
        long t = tick + 1;
        while (t < tick + SLOTS && slots[(int) (t % SLOTS)].first == null) {
            t++;
        }
        return t << TICK_BITS;
    }
}
