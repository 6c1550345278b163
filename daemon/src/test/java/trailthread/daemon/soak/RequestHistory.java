package trailthread.daemon.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What the client and the servers saw of one request. Times are those of {@link System#nanoTime}.
 */
final class RequestHistory {
    static final long NEVER = Long.MAX_VALUE;

    final String id;
    final RequestKind kind;
    final int deadlineMs;

    /** When servers had received each attempt completely. */
    final List<Long> receivedAt = new CopyOnWriteArrayList<>();

    /** When the client began to write. */
    volatile long startedAt = NEVER;

    /** When the client had written the last byte. */
    volatile long writtenAt = NEVER;

    /** When its client closed the connection without waiting for a response. */
    volatile long clientLeftAt = NEVER;

    /** When the response was complete, or the connection had ended. */
    volatile long endedAt = NEVER;

    /** How the request ended: the status line, or what happened to the connection. */
    volatile String result = "open";

    volatile boolean answered;

    /** Empty without a response; of a server's response it is the request's id. */
    volatile String responseBody = "";

    RequestHistory(String id, RequestKind kind, int deadlineMs) {
        this.id = id;
        this.kind = kind;
        this.deadlineMs = deadlineMs;
    }

    void ended(String how, boolean withResponse) {
        answered = withResponse;
        result = how;
        endedAt = System.nanoTime();
    }

    /** Describes the history, with times in milliseconds after SIGTERM. */
    String describe(long sigtermAt) {
        StringBuilder received = new StringBuilder();
        for (long at : receivedAt) {
            received.append(' ').append(milliseconds(at, sigtermAt));
        }
        return String.format(
                "%s %s, deadline %d ms: started %s, written %s, at servers%s, client left %s,"
                        + " ended %s: %s",
                kind,
                id,
                deadlineMs,
                milliseconds(startedAt, sigtermAt),
                milliseconds(writtenAt, sigtermAt),
                received.length() == 0 ? " never" : received,
                milliseconds(clientLeftAt, sigtermAt),
                milliseconds(endedAt, sigtermAt),
                result);
    }

    private static String milliseconds(long at, long sigtermAt) {
        return at == NEVER ? "never" : Long.toString((at - sigtermAt) / 1_000_000);
    }
}
