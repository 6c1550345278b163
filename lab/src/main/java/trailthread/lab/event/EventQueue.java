package trailthread.lab.event;

import java.util.PriorityQueue;

/**
 * The scheduled tasks, or events, of a run. They run in the order of their times, and at the same
 * time in the order in which they were scheduled. Nothing depends on hashing or on the machine, so
 * one seed gives one history (discrete-event simulation with a future event list: Law, "Simulation
 * Modeling and Analysis", 1.3). The emulation drives the same queue by the real clock.
 */
public final class EventQueue {
    /** A scheduled task. */
    public static final class Entry implements Comparable<Entry> {
        private final long time;
        private final long sequence;
        private Runnable task;

        private Entry(long time, long sequence, Runnable task) {
            this.time = time;
            this.sequence = sequence;
            this.task = task;
        }

        /** Prevents the task from running; without effect once it has run. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Entry other) {
            return time != other.time
                    ? Long.compare(time, other.time)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(1024);
    private long now;
    private long nextSequence;
    private long executedCount;

    /** Creates an empty queue whose clock starts at this time, in ns. */
    public EventQueue(long start) {
        now = start;
    }

    /** The time of the task that runs now, in ns; it never goes back. */
    public long now() {
        return now;
    }

    /** The number of tasks that have run. */
    public long executedCount() {
        return executedCount;
    }

    /** The number of scheduled tasks, including cancelled ones whose time has not come. */
    public int size() {
        return entries.size();
    }

    /**
     * Schedules a task. A time in the past stands for now: the task runs after all that are already
     * scheduled for now.
     */
    public Entry scheduleAt(long time, Runnable task) {
        Entry entry = new Entry(Math.max(now, time), nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    /** Schedules a task after a delay, in ns. */
    public Entry scheduleAfter(long delay, Runnable task) {
        return scheduleAt(now + Math.max(0, delay), task);
    }

    /** Runs the next task; false if none is left. */
    public boolean runNext() {
        for (Entry entry = entries.poll(); entry != null; entry = entries.poll()) {
            Runnable task = entry.task;
            if (task != null) {
                now = entry.time;
                entry.task = null;
                executedCount++;
                task.run();
                return true;
            }
        }
        return false;
    }

    /**
     * The time of the next task, which may have been cancelled; Long.MAX_VALUE if there is none.
     */
    public long nextTime() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().time;
    }

    /** Runs all tasks up to this time and sets the clock to it. */
    public void runUntil(long time) {
        while (!entries.isEmpty() && entries.peek().time <= time) {
            runNext();
        }
        now = Math.max(now, time);
    }
}
