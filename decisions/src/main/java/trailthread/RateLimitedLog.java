package trailthread;

import java.util.Arrays;
import trailthread.api.BalancerActions;

/**
 * The log for operators. Permits at most one line of each kind per longest deadline, so that no
 * fault floods the log.
 */
final class RateLimitedLog {
    /** Kinds of lines. */
    enum Kind {
        EJECTED,
        CONGESTED,
        REJECTING,
        LIST_FAILED,
        EJECTION_SUSPENDED
    }

    private final BalancerActions actions;
    private final ActiveSettings settings;
    private final long[] writtenAt = new long[Kind.values().length];

    RateLimitedLog(BalancerActions actions, ActiveSettings settings, long now) {
        this.actions = actions;
        this.settings = settings;
        Arrays.fill(writtenAt, now - settings.longestDeadlineNs());
    }

    /** Whether a line of this kind may be written now; if so, it counts as written. */
    boolean tryAcquire(Kind kind, long now) {
        boolean due = now - writtenAt[kind.ordinal()] >= settings.longestDeadlineNs();
        if (due) {
            writtenAt[kind.ordinal()] = now;
        }
        return due;
    }

    void write(String line) {
        actions.log(line);
    }
}
