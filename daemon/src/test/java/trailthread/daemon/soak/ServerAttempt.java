package trailthread.daemon.soak;

/** One request as a server received it. Written by the server's thread, read after the run. */
final class ServerAttempt {
    private static final long NEVER = Long.MAX_VALUE;

    /** The number of the server, from 0. */
    final int server;

    /** When the request's last byte was read, by {@link System#nanoTime}. */
    final long receivedAt = System.nanoTime();

    /** When it was answered, or its connection had been closed. */
    volatile long endedAt = NEVER;

    /** Whether the server turned it away unprocessed. */
    volatile boolean rejected;

    /** Whether the connection was closed while the server worked. */
    volatile boolean closedByNode;

    ServerAttempt(int server) {
        this.server = server;
    }

    /** Returns whether the attempt was still out on an open connection at this time. */
    boolean isOutAt(long time) {
        return !closedByNode && receivedAt <= time && endedAt > time;
    }

    @Override
    public String toString() {
        return "server "
                + server
                + " for "
                + (endedAt - receivedAt) / 1_000_000
                + " ms"
                + (rejected ? ", rejected" : "")
                + (closedByNode ? ", closed by the node" : "");
    }
}
