package trailthread.lab.invariant;

import java.util.List;

/**
 * A violation of an invariant.
 *
 * @param at when the violation was detected, in ns of the clock of the run
 * @param subject the id of the request, or the name of the server
 * @param finding what was observed
 * @param history all events of the request so far, in order; empty for a server or an unknown
 *     request
 */
public record Violation(
        Invariant invariant, long at, String subject, String finding, List<HistoryEntry> history) {
    /** Describes the violation and its history in several lines. */
    public String describe() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                java.util.Locale.ROOT,
                                "%s violated at %.6f s by %s: %s",
                                invariant,
                                at / 1e9,
                                subject,
                                finding));
        history.forEach(entry -> text.append("\n    ").append(entry));
        return text.toString();
    }
}
