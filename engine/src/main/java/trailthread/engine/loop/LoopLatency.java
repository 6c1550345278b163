package trailthread.engine.loop;

/**
 * What the I/O thread knows of its own lateness; pure: time is handed in, as the monotonic clock
 * has it, in nanoseconds.
 *
 * <p>The thread takes turns: it runs what is due, looks at its sockets, and serves those that are
 * ready. What comes meanwhile waits for the next look, and nothing tells how long it has waited.
 * But it cannot have been there at the look before, or it would have been served then; and if the
 * thread slept in its look, what it then finds is what woke it. So each piece that is read has two
 * bounds on when it came, and what lies between them is the node's own, not the peer's.
 */
public final class LoopLatency {
    /**
     * A look that takes longer, and longer than the turn before, has slept. Guards against a thread
     * that is put off its core between its turn and its look: what passes for a sleep then hides no
     * more.
     */
    private static final long SLEPT_NS = 100_000L;

    /** Half-life of the worst lateness seen: a pause counts for some seconds, not for minutes. */
    private static final double HALF_LIFE_NS = 1e9;

    private boolean serving;
    private boolean running;
    private long lookedAt;
    private long notBefore;
    private long ranUntil;
    private double worst;
    private long worstAt;

    LoopLatency(long now) {
        lookedAt = now;
        ranUntil = now;
    }

    /**
     * A socket is being served; true for the first one of a turn, after which {@link #served} is
     * owed.
     */
    boolean serves(long now) {
        if (serving || running) {
            return false; // a task that reads by the way has not looked at the other sockets
        }
        serving = true;
        if (hasSlept(now)) {
            notBefore = now;
        } else {
            notBefore = lookedAt;
            late(now - lookedAt, now); // what came right after the last look has waited so long
        }
        lookedAt = now;
        return true;
    }

    /** All sockets that were ready have been served. */
    void served(long now) {
        serving = false;
        ranUntil = now;
    }

    /** A task is run. If the thread has slept until now, its last look found no socket ready. */
    void runs(long now) {
        if (!serving && hasSlept(now)) {
            lookedAt = now;
        }
        running = true;
    }

    /**
     * For how long it may not have looked at its sockets, in nanoseconds. Once that is longer than
     * the gaps between its tasks, no gap tells of a sleep any more, and it grows until a socket is
     * served.
     */
    long unseenNs(long now) {
        return serving || hasSlept(now) ? 0 : now - lookedAt;
    }

    private boolean hasSlept(long now) {
        return now - ranUntil > Math.max(SLEPT_NS, ranUntil - lookedAt);
    }

    /** It has been run. */
    void ran(long now) {
        running = false;
        ranUntil = now;
    }

    /** A timer that was due runs only now. */
    void timer(long dueAt, long now) {
        late(now - dueAt, now);
    }

    private void late(long lateness, long now) {
        if (lateness > latenessNs(now)) {
            worst = lateness;
            worstAt = now;
        }
    }

    /** The worst lateness of late, in nanoseconds, fading by half each second. */
    public long latenessNs(long now) {
        return (long) (worst * Math.pow(0.5, (now - worstAt) / HALF_LIFE_NS));
    }

    /**
     * When the sockets that are being served were looked at; outside of that, for what is read by
     * the way, it is now.
     */
    long lookedAt(long now) {
        return serving && !running ? lookedAt : now;
    }

    /** Before this, nothing that is read now can have come. */
    long notBefore() {
        return serving && !running ? notBefore : lookedAt;
    }
}
