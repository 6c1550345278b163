package trailthread.lab.event;

import java.util.PriorityQueue;

/**
 * What is to happen in virtual time, in order: by time, and at one time in the order in which it
 * was set. Nothing depends on hashing or on the machine, so one seed gives one history
 * (discrete-event simulation with a future event list: Law, "Simulation Modeling and Analysis",
 * 1.3).
 */
public final class EventQueue {
    /** Something that is to happen; {@link #cancel} takes it back. */
    public static final class Entry implements Comparable<Entry> {
        private final long at;
        private final long serial;
        private Runnable task;

        private Entry(long at, long serial, Runnable task) {
            this.at = at;
            this.serial = serial;
            this.task = task;
        }

        /** It does not happen. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Entry other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(serial, other.serial);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(1024);
    private long now;
    private long serial;
    private long executedCount;

    /** Begins at this time, in ns. */
    public EventQueue(long begin) {
        now = begin;
    }

    /** The time of what happens now, in ns; it never goes back. */
    public long now() {
        return now;
    }

    /** How much has happened so far. */
    public long executedCount() {
        return executedCount;
    }

    /** How much is set and has not happened, with what was taken back and not yet passed. */
    public int size() {
        return entries.size();
    }

    /**
     * Sets a task to a time; one that has passed stands for now, after all else that is set to now.
     */
    public Entry scheduleAt(long time, Runnable task) {
        Entry entry = new Entry(Math.max(now, time), serial++, task);
        entries.add(entry);
        return entry;
    }

    /** Sets a task to be done after a delay, in ns. */
    public Entry scheduleAfter(long delay, Runnable task) {
        return scheduleAt(now + Math.max(0, delay), task);
    }

    /** Does the next thing; false if nothing is left. */
    public boolean runNext() {
        for (Entry entry = entries.poll(); entry != null; entry = entries.poll()) {
            Runnable task = entry.task;
            if (task != null) {
                now = entry.at;
                entry.task = null;
                executedCount++;
                task.run();
                return true;
            }
        }
        return false;
    }

    /** When the next thing is due, perhaps one that was taken back; Long.MAX_VALUE: nothing is. */
    public long nextTime() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().at;
    }

    /** Does all that is set up to this time, which is then the present. */
    public void runUntil(long time) {
        while (!entries.isEmpty() && entries.peek().at <= time) {
            runNext();
        }
        now = Math.max(now, time);
    }
}
