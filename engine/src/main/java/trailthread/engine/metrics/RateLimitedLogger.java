package trailthread.engine.metrics;

import java.util.Arrays;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.event.Level;

/**
 * Logs lines of one kind, a limited number per second. The first line after some were left out
 * tells how many.
 */
public final class RateLimitedLogger {
    private static final long WINDOW_NS = 1_000_000_000L;

    private final Logger log;
    private final Level level;
    private final int linesPerSecond;
    private final LongSupplier clock;
    private boolean enabled = true;
    private long windowStart;
    private int linesInWindow;
    private long leftOut;

    /**
     * @param linesPerSecond how many lines are logged within one second
     * @param clock the time in nanoseconds, which never steps
     */
    public RateLimitedLogger(Logger log, Level level, int linesPerSecond, LongSupplier clock) {
        this.log = log;
        this.level = level;
        this.linesPerSecond = linesPerSecond;
        this.clock = clock;
    }

    /** Stops logging. */
    public void disable() {
        enabled = false;
    }

    /** Returns whether a line may be logged now; if so, it counts as logged, else as left out. */
    public boolean tryAcquire() {
        long now = clock.getAsLong();
        if (now - windowStart >= WINDOW_NS) {
            windowStart = now;
            linesInWindow = 0;
        }
        if (!enabled || linesInWindow >= linesPerSecond) {
            leftOut++;
            return false;
        }
        linesInWindow++;
        return true;
    }

    /**
     * Logs a line. To be called after {@link #tryAcquire} has allowed it.
     *
     * @param format with a pair of braces for each argument
     */
    public void write(String format, Object... arguments) {
        Object[] withNote = Arrays.copyOf(arguments, arguments.length + 1);
        withNote[arguments.length] =
                leftOut == 0 ? "" : "; " + leftOut + " such lines left out before";
        leftOut = 0;
        log.atLevel(level).log(format + "{}", withNote);
    }
}
