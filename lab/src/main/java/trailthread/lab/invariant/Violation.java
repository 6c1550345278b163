package trailthread.lab.invariant;

import java.util.List;

/**
 * A broken rule.
 *
 * @param rule which
 * @param at when it broke, in ns
 * @param subject the call, or the server, that it broke on
 * @param finding what was seen
 * @param history the whole life of the call so far, in order; empty where it is no call's
 */
public record Violation(
        Invariant rule, long at, String subject, String finding, List<HistoryEntry> history) {
    /** Over several lines, for people. */
    public String describe() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                java.util.Locale.ROOT,
                                "%s broken at %.6f s by %s: %s",
                                rule,
                                at / 1e9,
                                subject,
                                finding));
        history.forEach(entry -> text.append("\n    ").append(entry));
        return text.toString();
    }
}
