package trailthread.lab.invariant;

/**
 * One event in the history of a request.
 *
 * @param at when it happened, in ns
 * @param attempt its number, or -1
 * @param server its name, or null
 * @param detail the node, outcome or result, or null
 */
public record HistoryEntry(long at, Event event, int attempt, String server, Object detail) {
    /** The kinds of events; their names in lower case appear in reports of violations. */
    public enum Event {
        TAKEN,
        SENT,
        BEGUN,
        ENDED,
        ANSWERED,
        CLIENT_GONE,
        OVERDUE
    }

    @Override
    public String toString() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                java.util.Locale.ROOT,
                                "%.6f s %s",
                                at / 1e9,
                                event.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ')));
        if (attempt >= 0) {
            text.append(" attempt ").append(attempt);
        }
        if (server != null) {
            text.append(" at ").append(server);
        }
        return detail == null ? text.toString() : text.append(": ").append(detail).toString();
    }
}
