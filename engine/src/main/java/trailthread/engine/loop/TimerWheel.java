package trailthread.engine.loop;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.xnio.XnioExecutor;

/**
 * A hashed timing wheel (Varghese and Lauck, "Hashed and hierarchical timing wheels", SOSP 1987):
 * timers are kept in slots by the tick at which they are due. Scheduling and cancelling take
 * constant time: each request schedules four timers and cancels three of them, and thousands are
 * pending at a time. Times are passed in, in nanoseconds of the monotonic clock. No timer is due
 * early; each is due up to one tick late.
 */
final class TimerWheel {
    /** A tick lasts two to this power nanoseconds, about a millisecond. */
    static final int TICK_BITS = 20;

    private static final int SLOTS = 2048;

    /** A pending timer; {@link #remove} cancels it. */
    static final class Timer implements XnioExecutor.Key {
        final long dueAt;

        /** Null once it has run or was cancelled. */
        private Runnable task;

        private final Slot slot;
        private Timer previous;
        private Timer next;

        private Timer(long dueAt, Runnable task, Slot slot) {
            this.dueAt = dueAt;
            this.task = task;
            this.slot = slot;
        }

        /** Cancels the timer. Returns whether its task had neither run nor been cancelled. */
        @Override
        public boolean remove() {
            slot.unlink(this);
            return takeTask() != null;
        }

        /** Returns the task on the first call; null on later calls and after a cancellation. */
        Runnable takeTask() {
            Runnable taken = task;
            task = null;
            return taken;
        }
    }

    /**
     * The timers of one tick, and of the ticks that are whole revolutions of the wheel earlier or
     * later, in the order in which they were scheduled. A doubly linked list.
     */
    private static final class Slot {
        private Timer first;
        private Timer last;

        void link(Timer timer) {
            timer.previous = last;
            if (last == null) {
                first = timer;
            } else {
                last.next = timer;
            }
            last = timer;
        }

        void unlink(Timer timer) {
            if (timer.previous == null && first != timer) {
                return; // already unlinked
            }
            if (timer.previous == null) {
                first = timer.next;
            } else {
                timer.previous.next = timer.next;
            }
            if (timer.next == null) {
                last = timer.previous;
            } else {
                timer.next.previous = timer.previous;
            }
            timer.previous = null;
            timer.next = null;
        }
    }

    private final Slot[] slots = new Slot[SLOTS];

    /** The timers of all ticks up to this one have been removed as due. */
    private long lastDueTick;

    TimerWheel(long now) {
        lastDueTick = now >> TICK_BITS;
        for (int i = 0; i < SLOTS; i++) {
            slots[i] = new Slot();
        }
    }

    /** Returns the first tick that begins at this time or later. */
    static long tickOf(long dueAt) {
        return (dueAt + (1L << TICK_BITS) - 1) >> TICK_BITS;
    }

    /** Schedules a timer; an overdue one is due at the next tick. */
    Timer schedule(long dueAt, Runnable task) {
        Slot slot = slots[(int) (Math.max(tickOf(dueAt), lastDueTick + 1) % SLOTS)];
        Timer timer = new Timer(dueAt, task, slot);
        slot.link(timer);
        return timer;
    }

    /** Removes the timers that are due, and returns them in the order of their ticks. */
    List<Timer> removeDue(long now) {
        List<Timer> due = new ArrayList<>();
        long until = now >> TICK_BITS;
        boolean revolved = until - lastDueTick >= SLOTS;
        for (long t = Math.max(lastDueTick + 1, until - SLOTS + 1); t <= until; t++) {
            Slot slot = slots[(int) (t % SLOTS)];
            for (Timer timer = slot.first; timer != null; ) {
                Timer next = timer.next;
                if (tickOf(timer.dueAt) <= until) {
                    slot.unlink(timer);
                    due.add(timer);
                }
                timer = next;
            }
        }
        if (revolved) { // after a pause, a slot holds the timers of several ticks
            due.sort(Comparator.comparingLong(timer -> tickOf(timer.dueAt)));
        }
        lastDueTick = Math.max(lastDueTick, until);
        return due;
    }

    /**
     * Returns the time of the next tick whose slot holds timers, at most one revolution ahead. The
     * timers in that slot may be due only in a later revolution.
     */
    long nextTickAt() {
        long t = lastDueTick + 1;
        while (t < lastDueTick + SLOTS && slots[(int) (t % SLOTS)].first == null) {
            t++;
        }
        return t << TICK_BITS;
    }
}
