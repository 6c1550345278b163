package trailthread.lab.invariant;

/**
 * One event in the history of a request.
 *
 * @param at when the event happened, in ns
 * @param attempt the number of the attempt, or -1
 * @param host the node that received the request or the server of the attempt, or null
 * @param detail the request class, outcome or response, or null
 */
public record HistoryEntry(long at, Event event, int attempt, String host, Object detail) {
    /** The kinds of events; their names in lower case appear in reports of violations. */
    public enum Event {
        /** A node received the request. */
        TAKEN,
        /** A node began to send an attempt. */
        SENT,
        /** A server accepted an attempt. */
        BEGUN,
        /** An attempt ended. */
        ENDED,
        /** The node responded. */
        ANSWERED,
        /** No response is expected any more. */
        CLIENT_GONE,
        /** There was no response in time. */
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
        if (host != null) {
            text.append(" at ").append(host);
        }
        return detail == null ? text.toString() : text.append(": ").append(detail).toString();
    }
}
