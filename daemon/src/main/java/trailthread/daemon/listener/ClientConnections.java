package trailthread.daemon.listener;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.StreamConnection;
import trailthread.engine.loop.EventLoop;

/**
 * Tracks the connections from clients, and closes those that clients hold without using them, so
 * that descriptors are free for clients with requests: connections on which nothing is sent, heads
 * that are never completed, and connections that are kept open after a request.
 *
 * <p>No request is lost to such a close: {@link #end(ClientConnection, long)}, the one place where
 * a connection is closed between requests, reads first what has come. Where many connections are
 * idle, and while the node drains, responses end their connections (Connection: close), which can't
 * cross a request at all. docs/restarts.md describes what a client sees.
 */
final class ClientConnections {
    /**
     * A first head is due this long after its connection opened; any other, after its first byte.
     */
    private static final long HEAD_TIMEOUT_NS = 2_600_000_000L;

    /** The rest of a message is due this long after its head, but for what a body's rate earns. */
    private static final long REST_TIMEOUT_NS = 1_000_000_000L;

    /** An idle connection is closed after this time, however few there are. */
    private static final long IDLE_TIMEOUT_NS = 15_000_000_000L;

    /** Clients rely on an idle connection for this long, so it is closed later, but in a crowd. */
    private static final long MIN_KEEP_ALIVE_NS = 2_000_000_000L;

    /** A client with a request sends it within this time of connecting. */
    private static final long SILENT_GRACE_NS = 250_000_000L;

    /** How long a connection must have been unused to be closed, or to count, in a crowd. */
    private static final long CROWDED_UNUSED_NS = 100_000_000L;

    private static final long CHECK_INTERVAL_NS = 50_000_000L;

    /** The share that is exceeded by any number of connections. */
    private static final double NO_SHARE = 0;

    /**
     * When idle connections exceed this share of the limit, responses end theirs. Busy ones do not
     * count, and the idle must have been so for a while: many requests at a time cost less over the
     * connections that are open.
     */
    private static final double ENDING_IDLE_SHARE = 0.3;

    /**
     * Past this share of the limit, idle connections are closed that have been kept long enough.
     */
    private static final double KEPT_SHARE = 0.5;

    /**
     * Past this share of the limit, all connections are closed that have been unused for {@link
     * #CROWDED_UNUSED_NS}. Prevents clients that open a connection for each request from using up
     * the limit, past which no client can connect.
     */
    private static final double CROWDED_SHARE = 0.65;

    private final EventLoop loop;
    private final int limit;

    /** Those on which no head has come yet, the oldest first. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();

    /** Those between two requests. */
    private final IdleConnections idle = new IdleConnections();

    /** Those with a request. */
    private final Set<ClientConnection> busy = new LinkedHashSet<>();

    /** Those whose last response has been written; their clients are to read it and to close. */
    private final Set<ClientConnection> leaving = new LinkedHashSet<>();

    private boolean closeAfterResponse;

    /** Runs once no connection is open; null unless all are to end. */
    private Runnable whenNone;

    /**
     * Starts to track connections.
     *
     * @param limit how many connections clients with requests may hold; past it none can connect
     */
    ClientConnections(EventLoop loop, int limit) {
        this.loop = loop;
        this.limit = limit;
        loop.execute(this::checkRegularly);
    }

    private void checkRegularly() {
        closeUnusedInCrowd();
        if (whenNone != null) {
            closeUnused();
        }
        loop.schedule(CHECK_INTERVAL_NS, this::checkRegularly);
    }

    ClientConnection opened(StreamConnection connection) {
        ClientConnection client = new ClientConnection(connection, loop);
        silent.add(client);
        closeUnusedInCrowd();
        return client;
    }

    /** A request's head has come; returns when the rest of the message is due. */
    long began(ClientConnection client) {
        long now = loop.now();
        boolean first = silent.remove(client);
        idle.remove(client);
        busy.add(client);
        long headBegan = first ? client.unusedSince() : now;
        return Math.max(headBegan + HEAD_TIMEOUT_NS, now + REST_TIMEOUT_NS);
    }

    /**
     * A request has its response.
     *
     * @param persistent whether the connection may carry another request
     */
    void ended(ClientConnection client, boolean persistent) {
        if (!busy.remove(client) || !client.isOpen()) {
            return;
        }
        client.becomeUnused(loop.now());
        if (persistent) {
            idle.add(client);
        } else {
            leaving.add(client);
        }
    }

    void closed(ClientConnection client) {
        silent.remove(client);
        idle.remove(client);
        busy.remove(client);
        leaving.remove(client);
        notifyIfNone();
    }

    /** Whether the response to the request on this connection is to end it. */
    boolean endsWithAnswer(ClientConnection client) {
        if (closeAfterResponse) {
            return true;
        }
        return idle.size() > ENDING_IDLE_SHARE * limit
                && idle.longestIdleFirst().iterator().next().unusedSince()
                        < loop.now() - CROWDED_UNUSED_NS
                && idle.holdsFairShare(client.owner());
    }

    /** Sets whether every response ends its connection. */
    void closeAfterResponse(boolean end) {
        closeAfterResponse = end;
    }

    /** Ends the idle connections, and the silent ones that have had time to send a request. */
    void closeUnused() {
        long now = loop.now();
        endWhileOver(NO_SHARE, idle.longestIdleFirst(), now, REST_TIMEOUT_NS);
        endWhileOver(NO_SHARE, silent, now - SILENT_GRACE_NS, REST_TIMEOUT_NS);
    }

    /**
     * Ends all connections: unused ones within some time, the others with their responses, see
     * {@link #closeAfterResponse}.
     *
     * @param whenNone runs when none is left, and not before: requests that lie unread would be
     *     reset with the process
     */
    void endAll(Runnable whenNone) {
        this.whenNone = whenNone;
        closeUnused();
        notifyIfNone();
    }

    private void notifyIfNone() {
        if (whenNone != null && size() == 0) {
            whenNone.run();
        }
    }

    /** Closes what has timed out, and more the closer the connections come to the limit. */
    private void closeUnusedInCrowd() {
        long now = loop.now();
        endWhileOver(NO_SHARE, silent, now - HEAD_TIMEOUT_NS, 0);
        endWhileOver(NO_SHARE, idle.longestIdleFirst(), now - IDLE_TIMEOUT_NS, HEAD_TIMEOUT_NS);
        for (ClientConnection client : lateWithHead(now)) {
            end(client, HEAD_TIMEOUT_NS);
        }
        endWhileOver(KEPT_SHARE, idle.longestIdleFirst(), now - MIN_KEEP_ALIVE_NS, HEAD_TIMEOUT_NS);
        endWhileOver(KEPT_SHARE, silent, now - SILENT_GRACE_NS, HEAD_TIMEOUT_NS);
        long unusedSince = now - CROWDED_UNUSED_NS;
        endWhileOver(CROWDED_SHARE, idle.longestIdleFirst(), unusedSince, CROWDED_UNUSED_NS);
        endWhileOver(CROWDED_SHARE, silent, unusedSince, CROWDED_UNUSED_NS);
        endWhileOver(CROWDED_SHARE, leaving, unusedSince, CROWDED_UNUSED_NS);
    }

    /** Those that have served a request, and are late with the rest of the next one's head. */
    private List<ClientConnection> lateWithHead(long now) {
        List<ClientConnection> late = new ArrayList<>();
        for (ClientConnection client : idle.longestIdleFirst()) {
            if (client.isReceiving() && client.receivingSince() <= now - HEAD_TIMEOUT_NS) {
                late.add(client);
            }
        }
        return late;
    }

    /** The number of connections by state; the names are published as label values. */
    Map<String, Integer> byState() {
        return Map.of(
                "silent",
                silent.size(),
                "idle",
                idle.size(),
                "busy",
                busy.size(),
                "leaving",
                leaving.size());
    }

    private int size() {
        return silent.size() + idle.size() + busy.size() + leaving.size();
    }

    private boolean isOver(double share) {
        return size() > share * limit;
    }

    /**
     * Ends the first of some connections that have been unused for long enough, while there are
     * more connections than a share of the limit.
     *
     * @param clients those unused for longest first
     * @param unusedSince only those are ended that have been unused since then
     * @param restTimeoutNs see {@link #end}
     */
    private void endWhileOver(
            double share, Set<ClientConnection> clients, long unusedSince, long restTimeoutNs) {
        boolean noneDue =
                clients.isEmpty()
                        || !isOver(share)
                        || clients.iterator().next().unusedSince() > unusedSince;
        if (noneDue) {
            return; // the usual case, in which nothing is copied
        }
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.unusedSince() > unusedSince || !isOver(share)) {
                return;
            }
            if (share == NO_SHARE || idle.holdsFairShare(client.owner())) {
                end(client, restTimeoutNs);
            }
        }
    }

    /**
     * Ends a connection that carries no request, after reading what has come on it: the timers of a
     * late loop run before it looks at its sockets. If a complete request has come, it is served
     * and the connection stays; if a part has come, there is time for the rest. A request that
     * comes after this read is not lost either: its client sees the connection close before any
     * response, and sends it again.
     *
     * @param restTimeoutNs how long after its first byte the rest of a head may come
     */
    private void end(ClientConnection client, long restTimeoutNs) {
        long unusedSince = client.unusedSince();
        client.readAvailable();
        boolean served = busy.contains(client) || client.unusedSince() != unusedSince;
        boolean receiving = client.receivingSince() > loop.now() - restTimeoutNs;
        if (!served && !receiving) {
            client.close();
        }
    }
}
