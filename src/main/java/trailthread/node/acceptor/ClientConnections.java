package trailthread.node.acceptor;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import trailthread.node.loop.Loop;

/**
 * The connections from clients, bounded. Guards against clients that take connections and make no use of
 * them: silent ones, heads that never end, those kept for good after one call. Each of them holds a
 * descriptor that a client with a call needs.
 */
final class ClientConnections {
    /** A connection brings the head of its first call whole within this. */
    private static final long FIRST_HEAD_WITHIN_NS = 2_000_000_000L;
    /** A kept connection without a call is closed after so long, though there is room. */
    private static final long IDLE_NS = 15_000_000_000L;
    /** From when on an idle connection may make room for another: clients count on it for this long. */
    private static final long KEPT_AT_LEAST_NS = 2_000_000_000L;
    /** A client with a call sends it as soon as it is connected; a silent one then makes room. */
    private static final long SPEAKS_WITHIN_NS = 250_000_000L;
    /** Past this share of the most, unused connections are closed to make room. */
    private static final double KEPT_SHARE = 0.75;
    /**
     * Past this share, those that idle or are silent for this long are closed, too. Guards against a crowd
     * that opens a connection for each call: at the bound, new ones wait until their clients have gone.
     */
    private static final double CROWDED_SHARE = 0.875;
    private static final long CROWDED_NS = 100_000_000L;
    private static final long LOOKED_AT_EVERY_NS = 50_000_000L;

    private final Loop loop;
    private final int most;
    /** Those that have yet to bring their first head, the oldest first, and when they were opened. */
    private final Map<StreamConnection, Long> silent = new LinkedHashMap<>();
    /** Those that idle between calls, the longest idle first, and since when. */
    private final Map<StreamConnection, Long> idle = new LinkedHashMap<>();
    /** Those with a call, and when they brought its head. */
    private final Map<StreamConnection, Long> busy = new LinkedHashMap<>();

    ClientConnections(Loop loop, int most) {
        this.loop = loop;
        this.most = most;
        lookAgain();
    }

    private void lookAgain() {
        makeRoom();
        loop.after(LOOKED_AT_EVERY_NS, this::lookAgain);
    }

    void opened(StreamConnection connection) {
        silent.put(connection, loop.now());
        makeRoom();
    }

    /** A head has come; says by when the rest of the message is owed. */
    long began(StreamConnection connection) {
        long now = loop.now();
        Long openedAt = silent.remove(connection);
        idle.remove(connection);
        busy.put(connection, now);
        return (openedAt == null ? now : openedAt) + FIRST_HEAD_WITHIN_NS + SPEAKS_WITHIN_NS;
    }

    void ended(StreamConnection connection) {
        if (busy.remove(connection) != null && connection.isOpen()) {
            idle.put(connection, loop.now());
        }
    }

    void closed(StreamConnection connection) {
        silent.remove(connection);
        idle.remove(connection);
        busy.remove(connection);
    }

    boolean noneBusy() {
        return busy.isEmpty();
    }

    /** Closes all that carry no call. */
    void closeUnused() {
        for (Map<StreamConnection, Long> unused : List.of(silent, idle)) {
            while (closeFirst(unused, Long.MAX_VALUE)) {
                continue;
            }
        }
    }

    private void makeRoom() {
        long now = loop.now();
        while (closeFirst(silent, now - FIRST_HEAD_WITHIN_NS) || closeFirst(idle, now - IDLE_NS)) {
            continue;
        }
        while (size() > KEPT_SHARE * most
                && (closeFirst(idle, now - KEPT_AT_LEAST_NS) || closeFirst(silent, now - SPEAKS_WITHIN_NS))) {
            continue;
        }
        while (size() > CROWDED_SHARE * most
                && (closeFirst(idle, now - CROWDED_NS) || closeFirst(silent, now - CROWDED_NS))) {
            continue;
        }
    }

    private int size() {
        return silent.size() + idle.size() + busy.size();
    }

    /** Closes the first of these, if it has been so since then or longer. */
    private static boolean closeFirst(Map<StreamConnection, Long> connections, long since) {
        if (connections.isEmpty()) {
            return false;
        }
        Map.Entry<StreamConnection, Long> first = connections.entrySet().iterator().next();
        if (first.getValue() > since) {
            return false;
        }
        connections.remove(first.getKey());
        IoUtils.safeClose(first.getKey());
        return true;
    }
}
