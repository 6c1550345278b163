package trailthread.daemon.listener;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.StreamConnection;
import trailthread.engine.loop.EventLoop;

/**
 * Tracks the connections from clients, and closes unused ones to free descriptors for clients with
 * requests: connections on which nothing is sent, on which a head is never completed, or which are
 * kept open after a request.
 *
 * <p>No request is lost to such a close: {@link #closeUnlessReceiving}, the only place where a
 * connection is closed between requests, first reads the available bytes. While many connections
 * are idle, and while the node drains, responses close their connections (Connection: close), which
 * tells the client before it sends another request. docs/restarts.md describes what a client sees.
 */
final class ClientConnections {
    /**
     * Timeout of a request head: from the opening of the connection for the first one, from the
     * head's first byte for any other.
     */
    private static final long HEAD_TIMEOUT_NS = 2_600_000_000L;

    /** Timeout of the rest of a message after its head, without the time for a body's bytes. */
    private static final long REST_TIMEOUT_NS = 1_000_000_000L;

    /** An idle connection is closed after this time, however few connections are open. */
    private static final long IDLE_TIMEOUT_NS = 15_000_000_000L;

    /**
     * Clients rely on an idle connection for this long. It is closed earlier only past {@link
     * #CLOSE_UNUSED_SHARE}.
     */
    private static final long MIN_KEEP_ALIVE_NS = 2_000_000_000L;

    /** A client with a request sends it within this time of connecting. */
    private static final long SILENT_GRACE_NS = 250_000_000L;

    /**
     * Minimum unused time of a connection that is closed past {@link #CLOSE_UNUSED_SHARE} or counts
     * as idle for {@link #CLOSE_AFTER_RESPONSE_SHARE}.
     */
    private static final long MIN_UNUSED_NS = 100_000_000L;

    private static final long CHECK_INTERVAL_NS = 50_000_000L;

    /** Exceeded by any number of connections. */
    private static final double ZERO_SHARE = 0;

    /**
     * When idle connections exceed this share of the limit, responses close their connections. Busy
     * connections do not count, nor do ones that became idle just now: many concurrent requests
     * cost less on connections that are already open.
     */
    private static final double CLOSE_AFTER_RESPONSE_SHARE = 0.3;

    /**
     * Past this share of the limit, connections are closed that have been idle for {@link
     * #MIN_KEEP_ALIVE_NS} or silent for {@link #SILENT_GRACE_NS}.
     */
    private static final double CLOSE_IDLE_SHARE = 0.5;

    /**
     * Past this share of the limit, all connections are closed that have been unused for {@link
     * #MIN_UNUSED_NS}. Prevents clients that open a connection for each request from using up the
     * limit, past which no client can connect.
     */
    private static final double CLOSE_UNUSED_SHARE = 0.65;

    private final EventLoop loop;
    private final int limit;

    /** Connections on which no head has arrived yet, the oldest first. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();

    /** Connections between two requests. */
    private final IdleConnections idle = new IdleConnections();

    /** Connections with a request in flight. */
    private final Set<ClientConnection> busy = new LinkedHashSet<>();

    /** Connections whose last response has been written, until their clients close them. */
    private final Set<ClientConnection> leaving = new LinkedHashSet<>();

    private boolean closeAfterResponse;

    /** Runs once no connection is open; null unless {@link #closeAll} was called. */
    private Runnable onNoneOpen;

    /**
     * Starts to track connections.
     *
     * @param limit how many connections clients with requests may hold; past it no client can
     *     connect
     */
    ClientConnections(EventLoop loop, int limit) {
        this.loop = loop;
        this.limit = limit;
        loop.execute(this::checkPeriodically);
    }

    private void checkPeriodically() {
        closeTimedOutOrExcess();
        if (onNoneOpen != null) {
            closeUnused();
        }
        loop.schedule(CHECK_INTERVAL_NS, this::checkPeriodically);
    }

    ClientConnection opened(StreamConnection connection) {
        ClientConnection client = new ClientConnection(connection, loop);
        silent.add(client);
        closeTimedOutOrExcess();
        return client;
    }

    /**
     * Records that a request's head has arrived; returns the deadline of the rest of the message.
     */
    long headArrived(ClientConnection client) {
        long now = loop.now();
        boolean first = silent.remove(client);
        idle.remove(client);
        busy.add(client);
        long headStartedAt = first ? client.unusedSince() : now;
        return Math.max(headStartedAt + HEAD_TIMEOUT_NS, now + REST_TIMEOUT_NS);
    }

    /**
     * Records that a response has been written.
     *
     * @param persistent whether the connection may carry another request
     */
    void responseWritten(ClientConnection client, boolean persistent) {
        client.requestEnded();
        if (!busy.remove(client) || !client.isOpen()) {
            return;
        }
        client.markUnused(loop.now());
        if (persistent) {
            idle.add(client);
        } else {
            leaving.add(client);
        }
    }

    void closed(ClientConnection client) {
        client.requestEnded();
        silent.remove(client);
        idle.remove(client);
        busy.remove(client);
        leaving.remove(client);
        notifyIfNoneOpen();
    }

    /** Whether the connection must be closed after the response to its current request. */
    boolean shouldCloseAfterResponse(ClientConnection client) {
        if (closeAfterResponse) {
            return true;
        }
        return idle.size() > CLOSE_AFTER_RESPONSE_SHARE * limit
                && idle.longestIdleFirst().iterator().next().unusedSince()
                        < loop.now() - MIN_UNUSED_NS
                && idle.holdsFairShare(client.owner());
    }

    /** Sets whether every connection is closed after its next response. */
    void setCloseAfterResponse(boolean enabled) {
        closeAfterResponse = enabled;
    }

    /**
     * Closes the idle connections, and the silent ones that have had time to send a request. A
     * connection on which a head has begun is not unused: the head has its usual time.
     */
    void closeUnused() {
        long now = loop.now();
        closeWhileOver(ZERO_SHARE, idle.longestIdleFirst(), now, HEAD_TIMEOUT_NS);
        closeWhileOver(ZERO_SHARE, silent, now - SILENT_GRACE_NS, HEAD_TIMEOUT_NS);
    }

    /**
     * Closes all connections: unused ones as soon as they have had time to send a request, the
     * others after their responses, see {@link #setCloseAfterResponse}.
     *
     * @param onNoneOpen runs when no connection is left. If it ran earlier, the process's exit
     *     would reset connections with unread requests.
     */
    void closeAll(Runnable onNoneOpen) {
        this.onNoneOpen = onNoneOpen;
        closeUnused();
        notifyIfNoneOpen();
    }

    private void notifyIfNoneOpen() {
        if (onNoneOpen != null && size() == 0) {
            onNoneOpen.run();
        }
    }

    /**
     * Closes connections that have timed out, and more of them the closer their number is to the
     * limit.
     */
    private void closeTimedOutOrExcess() {
        long now = loop.now();
        closeWhileOver(ZERO_SHARE, silent, now - HEAD_TIMEOUT_NS, 0);
        closeWhileOver(ZERO_SHARE, idle.longestIdleFirst(), now - IDLE_TIMEOUT_NS, HEAD_TIMEOUT_NS);
        for (ClientConnection client : headTimedOut(now)) {
            closeUnlessReceiving(client, HEAD_TIMEOUT_NS);
        }
        closeWhileOver(
                CLOSE_IDLE_SHARE,
                idle.longestIdleFirst(),
                now - MIN_KEEP_ALIVE_NS,
                HEAD_TIMEOUT_NS);
        closeWhileOver(CLOSE_IDLE_SHARE, silent, now - SILENT_GRACE_NS, HEAD_TIMEOUT_NS);
        long unusedSince = now - MIN_UNUSED_NS;
        closeWhileOver(CLOSE_UNUSED_SHARE, idle.longestIdleFirst(), unusedSince, MIN_UNUSED_NS);
        closeWhileOver(CLOSE_UNUSED_SHARE, silent, unusedSince, MIN_UNUSED_NS);
        closeWhileOver(CLOSE_UNUSED_SHARE, leaving, unusedSince, MIN_UNUSED_NS);
    }

    /** Connections that have carried a request, and on which the next head has timed out. */
    private List<ClientConnection> headTimedOut(long now) {
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
     * Closes connections that have been unused for long enough, the longest unused first, while
     * more connections are open than a share of the limit.
     *
     * @param clients connections to close, the longest unused first
     * @param unusedSince only connections that have been unused since then are closed
     * @param restTimeoutNs see {@link #closeUnlessReceiving}
     */
    private void closeWhileOver(
            double share, Set<ClientConnection> clients, long unusedSince, long restTimeoutNs) {
        boolean noneToClose =
                clients.isEmpty()
                        || !isOver(share)
                        || clients.iterator().next().unusedSince() > unusedSince;
        if (noneToClose) {
            return; // the usual case, in which nothing is copied
        }
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.unusedSince() > unusedSince || !isOver(share)) {
                return;
            }
            if (share == ZERO_SHARE || idle.holdsFairShare(client.owner())) {
                closeUnlessReceiving(client, restTimeoutNs);
            }
        }
    }

    /**
     * Closes a connection that carries no request, after reading the available bytes, as a late
     * loop runs its timers before it reads its sockets. If a complete request has arrived, it is
     * served and the connection stays open; if a part has arrived, the client has time to send the
     * rest. A request that arrives after this read is not lost either: its client sees the
     * connection close before any response, and sends it again.
     *
     * @param restTimeoutNs how long after its first byte the rest of a head may arrive
     */
    private void closeUnlessReceiving(ClientConnection client, long restTimeoutNs) {
        long unusedSince = client.unusedSince();
        client.readAvailable();
        boolean served = busy.contains(client) || client.unusedSince() != unusedSince;
        boolean receiving = client.receivingSince() > loop.now() - restTimeoutNs;
        if (!served && !receiving) {
            client.close();
        }
    }
}
