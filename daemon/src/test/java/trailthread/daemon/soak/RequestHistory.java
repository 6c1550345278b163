package trailthread.daemon.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** What client and servers saw of one request. Times are those of {@link System#nanoTime}. */
final class RequestHistory {
    static final long NEVER = Long.MAX_VALUE;

    final String id;
    final RequestKind kind;
    final int deadlineMs;

    /** When servers had received an attempt completely. */
    final List<Long> receivedAt = new CopyOnWriteArrayList<>();

    volatile long begunAt = NEVER;

    /** When the last byte had been written. */
    volatile long writtenAt = NEVER;

    /** When its client closed the connection without waiting for a response. */
    volatile long clientLeftAt = NEVER;

    /** When the response was complete, or the connection had ended. */
    volatile long endedAt = NEVER;

    /** How it ended: a status, or what became of the connection. */
    volatile String end = "open";

    volatile boolean answered;

    RequestHistory(String id, RequestKind kind, int deadlineMs) {
        this.id = id;
        this.kind = kind;
        this.deadlineMs = deadlineMs;
    }

    void ended(String how, boolean withResponse) {
        answered = withResponse;
        end = how;
        endedAt = System.nanoTime();
    }

    /** The history with times in milliseconds after SIGTERM. */
    String text(long terminatedAt) {
        StringBuilder received = new StringBuilder();
        for (long at : receivedAt) {
            received.append(' ').append(milliseconds(at, terminatedAt));
        }
        return String.format(
                "%s %s, deadline %d ms: begun %s, written %s, at servers%s, client left %s, ended %s: %s",
                kind,
                id,
                deadlineMs,
                milliseconds(begunAt, terminatedAt),
                milliseconds(writtenAt, terminatedAt),
                received.length() == 0 ? " never" : received,
                milliseconds(clientLeftAt, terminatedAt),
                milliseconds(endedAt, terminatedAt),
                end);
    }

    private static String milliseconds(long at, long terminatedAt) {
        return at == NEVER ? "never" : Long.toString((at - terminatedAt) / 1_000_000);
    }
}
