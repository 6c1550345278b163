package trailthread.testkit;

/** Measures by how much the machine delays a thread that only sleeps. */
public final class SchedulingDelayMeter {
    /** The platform delays a node by less than this; a test run with a longer delay is void. */
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

    /** Whether the run so far is void, as the longest delay has reached the limit. */
    public boolean hasReachedLimit() {
        return maxDelayMs >= DELAY_LIMIT_MS;
    }

    /** Ends the measurement. */
    public void stop() throws InterruptedException {
        stopped = true;
        thread.join();
    }
}
