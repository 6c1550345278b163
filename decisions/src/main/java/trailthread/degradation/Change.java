package trailthread.degradation;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A change of level, for the log and for whoever watches.
 *
 * @param at when, on the clock of the readings, ns
 * @param causes going down, the conditions that entered the level; going up, those that held it
 *     last
 * @param stayNs how long the new level stays at least, ns
 */
public record Change(
        String from, String to, boolean down, long at, List<Cause> causes, long stayNs) {
    /**
     * One reading behind a change.
     *
     * @param value NaN where it is no longer measured
     * @param bound the bound that it reached (going down) or is now under (going up)
     */
    public record Cause(Reading reading, double value, double bound) {}

    /** As a line: {@code level normal -> reduced: failing 0.200 >= 0.150, stays 20 s or longer}. */
    @Override
    public String toString() {
        String why =
                causes.stream()
                        .map(
                                c ->
                                        c.reading().word()
                                                + " "
                                                + c.reading().show(c.value())
                                                + (down ? " >= " : " < ")
                                                + c.reading().show(c.bound()))
                        .collect(Collectors.joining(" and "));
        why = why.isEmpty() ? "none of its conditions holds" : why;
        return String.format(
                Locale.ROOT,
                "level %s -> %s: %s, stays %.0f s or longer",
                from,
                to,
                why,
                stayNs / 1e9);
    }
}
