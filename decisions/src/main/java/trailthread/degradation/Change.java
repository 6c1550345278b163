package trailthread.degradation;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A change of level, for the log and the metrics.
 *
 * @param from name of the level that was left
 * @param to name of the level that was entered
 * @param down whether the new level serves less
 * @param at time of the change, on the clock of the readings, ns
 * @param causes going down, the conditions that entered the new level; going up, the conditions
 *     that were the last to hold the old level
 * @param stayNs how long the new level stays at least, ns
 */
public record Change(
        String from, String to, boolean down, long at, List<Cause> causes, long stayNs) {
    private static final double NS_PER_SECOND = 1e9;

    /**
     * One reading behind a change.
     *
     * @param value the reading's value; NaN where it is no longer measured
     * @param bound the bound that the value reached (going down) or is now under (going up)
     */
    public record Cause(Reading reading, double value, double bound) {}

    /**
     * The change as a log line: {@code level normal -> reduced: failing 0.200 >= 0.150, stays 20 s
     * or longer}.
     */
    @Override
    public String toString() {
        String reasons = causes.stream().map(this::describe).collect(Collectors.joining(" and "));
        return String.format(
                Locale.ROOT,
                "level %s -> %s: %s, stays %.0f s or longer",
                from,
                to,
                reasons.isEmpty() ? "none of its conditions holds" : reasons,
                stayNs / NS_PER_SECOND);
    }

    private String describe(Cause cause) {
        Reading reading = cause.reading();
        String relation = down ? " >= " : " < ";
        return reading.key()
                + " "
                + reading.show(cause.value())
                + relation
                + reading.show(cause.bound());
    }
}
