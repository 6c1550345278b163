package trailthread.engine.loop;

/**
 * Measures how late the I/O thread runs, and bounds when the input that it reads arrived. All times
 * are passed in, by the monotonic clock, in nanoseconds.
 *
 * <p>In each iteration the thread runs the tasks that are due, polls its sockets, and serves those
 * that are ready. Input that arrives meanwhile waits for the next poll, and the socket does not
 * show for how long. But the input can't have been there at the poll before, or it would have been
 * served then; and if the thread blocked in a poll, the input found by that poll has just woken the
 * thread. So the arrival of each input lies between two bounds. The time between them is the node's
 * own lateness, not the peer's.
 */
public final class LoopLatency {
    /**
     * A gap between two tasks counts as a blocked poll if it is longer than this, and longer than
     * the iteration before it. Prevents a thread that loses its core for a moment between an
     * iteration and its poll from hiding the lateness of a longer iteration.
     */
    private static final long MIN_BLOCKED_NS = 100_000L;

    /** Half-life of the worst lateness: a pause counts for some seconds, not for minutes. */
    private static final double HALF_LIFE_NS = 1e9;

    private boolean servingSockets;
    private boolean runningTask;

    /** The last time at which the sockets are known to have been polled. */
    private long polledAt;

    /** The lower bound of the arrival of input on the sockets that are being served. */
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
     * Records that a socket is about to be served.
     *
     * @return true for the first socket after a poll; {@link #afterServingSockets} must follow then
     */
    boolean beforeServingSocket(long now) {
        if (servingSockets || runningTask) {
            return false; // a socket served within a task says nothing of the other sockets
        }
        servingSockets = true;
        if (hasBlockedInPoll(now)) {
            arrivedNotBefore = now;
        } else {
            arrivedNotBefore = polledAt;
            record(now - polledAt, now); // the wait of input that came right after the last poll
        }
        polledAt = now;
        return true;
    }

    /** Records that all ready sockets have been served. */
    void afterServingSockets(long now) {
        servingSockets = false;
        busyUntil = now;
    }

    /**
     * Records the start of a task. If the thread has blocked until now, its last poll found no
     * socket ready.
     */
    void beginTask(long now) {
        if (!servingSockets && hasBlockedInPoll(now)) {
            polledAt = now;
        }
        runningTask = true;
    }

    /** Records the end of the task. */
    void endTask(long now) {
        runningTask = false;
        busyUntil = now;
    }

    /**
     * Returns for how long the sockets may not have been polled, in nanoseconds. Once this time is
     * longer than the gaps between tasks, no gap counts as a blocked poll any more, and the time
     * grows until a socket is served.
     */
    long unpolledNs(long now) {
        return servingSockets || hasBlockedInPoll(now) ? 0 : now - polledAt;
    }

    private boolean hasBlockedInPoll(long now) {
        return now - busyUntil > Math.max(MIN_BLOCKED_NS, busyUntil - polledAt);
    }

    /** Records the lateness of a timer that runs now. */
    void recordTimerLateness(long dueAt, long now) {
        record(now - dueAt, now);
    }

    private void record(long latenessNs, long now) {
        if (latenessNs > latenessNs(now)) {
            worstLatenessNs = latenessNs;
            worstAt = now;
        }
    }

    /** Returns the worst recent lateness, in nanoseconds, which halves each second. */
    public long latenessNs(long now) {
        return (long) (worstLatenessNs * Math.pow(0.5, (now - worstAt) / HALF_LIFE_NS));
    }

    /**
     * Returns the upper bound of the arrival of input that is read now: the time of the poll, or
     * now for a read within a task.
     */
    long arrivedBy(long now) {
        return servingSockets && !runningTask ? polledAt : now;
    }

    /** Returns the lower bound of the arrival of input that is read now. */
    long arrivedNotBefore() {
        return servingSockets && !runningTask ? arrivedNotBefore : polledAt;
    }
}
