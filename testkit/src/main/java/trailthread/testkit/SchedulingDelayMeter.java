package trailthread.testkit;

/** Measures by how much the machine delays a thread that only sleeps. */
public final class SchedulingDelayMeter {
    /** The platform holds a node up for no longer; a run on a machine that does so is void. */
    public static final int DELAY_LIMIT_MS = 150;

    private static final int SLEEP_MS = 1;

    private final Thread thread = new Thread(this::measure, "delay meter");
    private volatile boolean stopped;
    private volatile long maxDelayMs;

    /** Starts to measure. */
    public SchedulingDelayMeter() {
        thread.setDaemon(true);
        thread.start();
    }

    private void measure() {
        for (long at = System.nanoTime(); !stopped; at = System.nanoTime()) {
            try {
                Thread.sleep(SLEEP_MS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            maxDelayMs = Math.max(maxDelayMs, (System.nanoTime() - at) / 1_000_000);
        }
    }

    /** The longest delay so far, in milliseconds. */
    public long maxDelayMs() {
        return maxDelayMs;
    }

    /** Whether a run so far is void, as the machine delayed a thread by too much. */
    public boolean exceedsLimit() {
        return maxDelayMs >= DELAY_LIMIT_MS;
    }

    /** Ends the measurement. */
    public void stop() throws InterruptedException {
        stopped = true;
        thread.join();
    }
}
