package trailthread.lab.invariant;

import java.util.List;

/**
 * A broken rule.
 *
 * @param rule which
 * @param at when it broke, in ns
 * @param who the call, or the server, that it broke on
 * @param what what was seen
 * @param history the whole life of the call so far, in order; empty where it is no call's
 */
public record Violation(
        Invariant rule, long at, String who, String what, List<HistoryEntry> history) {
    /** Over several lines, for people. */
    public String told() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                java.util.Locale.ROOT,
                                "%s broken at %.6f s by %s: %s",
                                rule,
                                at / 1e9,
                                who,
                                what));
        history.forEach(moment -> text.append("\n    ").append(moment));
        return text.toString();
    }
}
