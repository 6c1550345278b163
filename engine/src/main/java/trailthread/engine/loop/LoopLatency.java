package trailthread.engine.loop;

/**
 * Measures how late the I/O thread runs, and bounds when the input that it reads arrived. All times
 * are passed in, by the monotonic clock, in nanoseconds.
 *
 * <p>In each iteration the thread runs the tasks that are due, polls its sockets, and serves those
 * that are ready. Input that arrives meanwhile waits for the next poll, and the socket does not
 * tell for how long. But it can't have been there at the poll before, or it would have been served
 * then; and if the thread blocked in its poll, the input that it then finds has just woken it. So
 * the arrival of each input lies between two bounds. The time between them is the node's own
 * lateness, not the peer's.
 */
public final class LoopLatency {
    /**
     * The thread has blocked in a poll if this took longer, and longer than the iteration before.
     * Prevents a thread that loses its core for a moment between an iteration and its poll from
     * hiding the lateness of a longer iteration.
     */
    private static final long LEAST_BLOCKED_NS = 100_000L;

    /** Half-life of the worst lateness: a pause counts for some seconds, not for minutes. */
    private static final double HALF_LIFE_NS = 1e9;

    private boolean servingSockets;
    private boolean runningTask;

    /** When the sockets were last polled, as far as is known. */
    private long polledAt;

    /** The lower bound for input of the sockets that are being served. */
    private long arrivedNotBefore;

    /** When the last task, or the last pass over the sockets, ended. */
    private long busyUntil;

    private double worstLatenessNs;
    private long worstAt;

    LoopLatency(long now) {
        polledAt = now;
        busyUntil = now;
    }

    /**
     * A socket is about to be served.
     *
     * @return true for the first one after a poll; {@link #socketsServed} must follow then
     */
    boolean serveSocket(long now) {
        if (servingSockets || runningTask) {
            return false; // a read within a task says nothing of the other sockets
        }
        servingSockets = true;
        if (hasBlocked(now)) {
            arrivedNotBefore = now;
        } else {
            arrivedNotBefore = polledAt;
            record(now - polledAt, now); // input right after the last poll has waited so long
        }
        polledAt = now;
        return true;
    }

    /** All sockets that were ready have been served. */
    void socketsServed(long now) {
        servingSockets = false;
        busyUntil = now;
    }

    /** A task begins. If the thread has blocked until now, its last poll found no socket ready. */
    void beginTask(long now) {
        if (!servingSockets && hasBlocked(now)) {
            polledAt = now;
        }
        runningTask = true;
    }

    /** The task has ended. */
    void endTask(long now) {
        runningTask = false;
        busyUntil = now;
    }

    /**
     * For how long the sockets may not have been polled, in nanoseconds. Once this is longer than
     * the gaps between tasks, no gap is taken for a blocked poll any more, and it grows until a
     * socket is served.
     */
    long unpolledNs(long now) {
        return servingSockets || hasBlocked(now) ? 0 : now - polledAt;
    }

    private boolean hasBlocked(long now) {
        return now - busyUntil > Math.max(LEAST_BLOCKED_NS, busyUntil - polledAt);
    }

    /** A timer that was due runs now. */
    void timerRuns(long dueAt, long now) {
        record(now - dueAt, now);
    }

    private void record(long latenessNs, long now) {
        if (latenessNs > latenessNs(now)) {
            worstLatenessNs = latenessNs;
            worstAt = now;
        }
    }

    /** The worst recent lateness, in nanoseconds; it decays by half each second. */
    public long latenessNs(long now) {
        return (long) (worstLatenessNs * Math.pow(0.5, (now - worstAt) / HALF_LIFE_NS));
    }

    /** By when input that is read now had arrived: the poll, or now for a read within a task. */
    long arrivedBy(long now) {
        return servingSockets && !runningTask ? polledAt : now;
    }

    /** Input that is read now can't have arrived before this. */
    long arrivedNotBefore() {
        return servingSockets && !runningTask ? arrivedNotBefore : polledAt;
    }
}
