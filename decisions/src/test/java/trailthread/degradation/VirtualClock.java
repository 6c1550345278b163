package trailthread.degradation;

import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Virtual time in ns, with scheduled actions. Actions that are due at the same time run in the
 * order in which they were scheduled.
 */
final class VirtualClock {
    static final long MS = 1_000_000;
    static final long S = 1000 * MS;

    private final Queue<Scheduled> queue = new PriorityQueue<>();
    private long now;
    private long scheduledCount;

    private record Scheduled(long at, long number, Runnable action)
            implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    long now() {
        return now;
    }

    void schedule(long ns, Runnable action) {
        queue.add(new Scheduled(now + ns, scheduledCount++, action));
    }

    /** Runs the actions that are due up to this time; at least one later action must remain. */
    void runUntil(long end) {
        while (queue.element().at() <= end) {
            Scheduled due = queue.remove();
            now = due.at();
            due.action().run();
        }
    }
}
