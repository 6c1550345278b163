package trailthread.testkit;

/** Measures by how much the machine delays a thread that only sleeps. */
public final class DelayMeter {
    /** The platform holds a node up for no longer; a run on a machine that does so is void. */
    public static final int MAX_DELAY_MS = 150;

    private static final int SLEEP_MS = 1;

    private final Thread thread = new Thread(this::measure, "delay meter");
    private volatile boolean over;
    private volatile long worstMs;

    /** Starts to measure. */
    public DelayMeter() {
        thread.setDaemon(true);
        thread.start();
    }

    private void measure() {
        for (long at = System.nanoTime(); !over; at = System.nanoTime()) {
            try {
                Thread.sleep(SLEEP_MS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            worstMs = Math.max(worstMs, (System.nanoTime() - at) / 1_000_000);
        }
    }

    /** The longest delay so far, in milliseconds. */
    public long worstMs() {
        return worstMs;
    }

    /** Whether a run so far is void, as the machine delayed a thread by too much. */
    public boolean isVoid() {
        return worstMs >= MAX_DELAY_MS;
    }

    /** Ends the measurement. */
    public void stop() throws InterruptedException {
        over = true;
        thread.join();
    }
}
