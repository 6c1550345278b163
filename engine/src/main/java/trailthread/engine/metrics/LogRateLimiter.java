package trailthread.engine.metrics;

/**
 * Limits how many lines of one kind are logged per second, and counts those left out. Time is
 * handed in, in nanoseconds by any clock that never steps.
 */
public final class LogRateLimiter {
    private static final long WINDOW_NS = 1_000_000_000L;

    private final int linesPerSecond;
    private long windowStart;
    private int linesInWindow;
    private long suppressed;

    /**
     * @param linesPerSecond how many lines may be logged within one second
     */
    public LogRateLimiter(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /** Returns whether a line may be logged now; if not, it counts as suppressed. */
    public boolean tryAcquire(long now) {
        if (now - windowStart >= WINDOW_NS) {
            windowStart = now;
            linesInWindow = 0;
        }
        if (linesInWindow >= linesPerSecond) {
            suppressed++;
            return false;
        }
        linesInWindow++;
        return true;
    }

    /** Returns the number of lines suppressed since the last call of this method. */
    public long takeSuppressed() {
        long taken = suppressed;
        suppressed = 0;
        return taken;
    }
}
