package trailthread.degradation;

import java.util.PriorityQueue;
import java.util.Queue;

/** Virtual time in ns, and the actions that are due in it; those due at one time run in order. */
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

    void after(long ns, Runnable action) {
        queue.add(new Scheduled(now + ns, scheduledCount++, action));
    }

    /** Runs what is due up to this time; something must remain for later. */
    void runUntil(long end) {
        while (queue.element().at() <= end) {
            Scheduled due = queue.remove();
            now = due.at();
            due.action().run();
        }
    }
}
