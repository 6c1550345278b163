package trailthread.engine.endpoint;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import trailthread.ListLease;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.http.HttpConnector;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * The connections to all endpoints. They are opened on demand, kept while idle, and limited in
 * total. Also checks, right before a request is written, whether the endpoint list allows it.
 */
final class ConnectionPool {
    /**
     * An idle connection is closed after this fraction of the time for which its endpoint keeps it
     * open, so that a request never meets a connection that the endpoint closes.
     */
    private static final double IDLE_TIME_FRACTION = 0.8;

    /** How many times idle connections are checked within the time that they are kept. */
    private static final int SWEEPS_PER_IDLE_TIME = 20;

    private static final long MIN_SWEEP_INTERVAL_NS = 10_000_000L;

    /** A surplus second response to the last request, if there is one, arrives within this time. */
    private static final long SETTLE_TIME_NS = 10_000_000L;

    /** A connection that carries no request. */
    static final class IdleConnection {
        private final PooledEndpoint endpoint;
        private final HttpConnection connection;

        IdleConnection(PooledEndpoint endpoint, HttpConnection connection) {
            this.endpoint = endpoint;
            this.connection = connection;
        }
    }

    private final EventLoop loop;
    private final ConnectionLimit limit;
    private final CpuAccount account;
    private long connectTimeoutNs;
    private long idleNs;
    private long drainGraceNs;

    /** No request is sent to any endpoint then or later: the endpoint list is too old. */
    private long listUsableUntil = Long.MAX_VALUE;

    private Runnable readUpdates = () -> {};

    /** The idle connections of all endpoints, the one that is idle longest first. */
    private final Set<IdleConnection> idle = new LinkedHashSet<>();

    /** The number of connections, with those that are being established. */
    private int open;

    private boolean sweepScheduled;

    ConnectionPool(
            EventLoop loop,
            long connectTimeoutNs,
            long idleNs,
            long drainGraceNs,
            ConnectionLimit limit,
            CpuAccount account) {
        this.loop = loop;
        this.limit = limit;
        this.account = account;
        setTimeouts(connectTimeoutNs, idleNs, drainGraceNs);
    }

    /**
     * Changes the timeouts.
     *
     * @param endpointIdleNs how long an endpoint keeps an idle connection open, in nanoseconds
     */
    void setTimeouts(long connectTimeout, long endpointIdleNs, long graceNs) {
        connectTimeoutNs = connectTimeout;
        idleNs = (long) (IDLE_TIME_FRACTION * endpointIdleNs);
        drainGraceNs = ListLease.usableGraceNs(graceNs);
    }

    long connectTimeoutNs() {
        return connectTimeoutNs;
    }

    /** Sets until when the endpoint list may be used, by {@link EventLoop#now}. */
    void setListLeaseEnd(long until) {
        listUsableUntil = until;
    }

    /** Sets what reads the updates of the endpoint list that have arrived. */
    void setUpdateReader(Runnable reader) {
        readUpdates = reader;
    }

    /**
     * Returns whether a request may be sent to an endpoint now, by everything that discovery has
     * sent. A health check does not need a fresh list.
     */
    boolean maySend(PooledEndpoint endpoint, boolean isProbe) {
        // Updates count as known once they have arrived, even if the loop has not read them yet.
        readUpdates.run();
        long now = loop.now();
        return endpoint.acceptsRequests(now, drainGraceNs) && (isProbe || now < listUsableUntil);
    }

    /** Takes an idle connection to the endpoint out of the pool; returns null if there is none. */
    HttpConnection takeIdle(PooledEndpoint endpoint) {
        IdleConnection next = preferred(endpoint);
        while (next != null) {
            remove(next);
            if (isExpired(next)) {
                // left by a sweep that is late; the endpoint may be closing it right now
                next.connection.close();
            } else if (next.connection.readAndCheckIdle()) {
                return next.connection;
            }
            next = preferred(endpoint);
        }
        return null;
    }

    /**
     * Returns the connection used last among those that have settled, or else the one that is idle
     * longest, or null. This prevents a surplus second response to the last request from being
     * taken for the next one's.
     */
    private IdleConnection preferred(PooledEndpoint endpoint) {
        long settledSince = loop.now() - SETTLE_TIME_NS;
        Iterator<IdleConnection> lastFirst = endpoint.idle.descendingIterator();
        while (lastFirst.hasNext()) {
            IdleConnection next = lastFirst.next();
            if (next.connection.idleSince() <= settledSince) {
                return next;
            }
        }
        return endpoint.idle.peekFirst();
    }

    /**
     * Opens a connection.
     *
     * @param opened receives the connection, or null if it could not be established; never from
     *     within this call
     * @return cancels the connect
     */
    Runnable connect(PooledEndpoint endpoint, Consumer<HttpConnection> opened) {
        if (!takePermit()) {
            loop.execute(() -> opened.accept(null));
            return () -> {};
        }
        open++;
        Runnable cancel =
                HttpConnector.open(
                        loop,
                        endpoint.address,
                        account,
                        this::connectionClosed,
                        connection -> {
                            if (connection == null) {
                                connectionClosed();
                            }
                            opened.accept(connection);
                        });
        return () -> {
            connectionClosed();
            cancel.run();
        };
    }

    /** Takes a permit for a connection, if need be that of an idle one, which is closed. */
    private boolean takePermit() {
        if (limit.tryAcquire()) {
            return true;
        }
        if (idle.isEmpty()) {
            return false;
        }
        closeLongestIdle();
        return limit.tryAcquire();
    }

    private void connectionClosed() {
        open--;
        limit.release();
    }

    /** Returns a connection to the pool, or closes it if it cannot carry another request. */
    void release(PooledEndpoint endpoint, HttpConnection connection) {
        if (!endpoint.listed || !limit.mayKeepIdle()) {
            connection.close();
        }
        if (!connection.isIdle()) {
            return;
        }
        IdleConnection released = new IdleConnection(endpoint, connection);
        endpoint.idle.addLast(released);
        idle.add(released);
        if (!sweepScheduled) {
            sweepScheduled = true;
            loop.schedule(idleNs, this::sweep);
        }
    }

    /**
     * Closes the connections that have been idle for too long. One timer serves all of them, as
     * most are used again long before.
     */
    private void sweep() {
        while (!idle.isEmpty() && isExpired(idle.iterator().next())) {
            closeLongestIdle();
        }
        sweepScheduled = !idle.isEmpty();
        if (sweepScheduled) {
            loop.schedule(
                    Math.max(idleNs / SWEEPS_PER_IDLE_TIME, MIN_SWEEP_INTERVAL_NS), this::sweep);
        }
    }

    private boolean isExpired(IdleConnection connection) {
        return loop.now() - connection.connection.idleSince() >= idleNs;
    }

    /** Closes up to so many idle connections to any endpoints, those idle longest first. */
    void closeIdle(int count) {
        for (int i = 0; i < count && !idle.isEmpty(); i++) {
            closeLongestIdle();
        }
    }

    /** Closes all idle connections to the endpoint. */
    void closeIdle(PooledEndpoint endpoint) {
        while (!endpoint.idle.isEmpty()) {
            close(endpoint.idle.peekLast());
        }
    }

    /** Returns the number of connections by state, "idle" or "busy". */
    Map<String, Integer> countByState() {
        return Map.of("idle", idle.size(), "busy", open - idle.size());
    }

    private void closeLongestIdle() {
        close(idle.iterator().next());
    }

    private void close(IdleConnection connection) {
        remove(connection);
        connection.connection.close();
    }

    private void remove(IdleConnection connection) {
        PooledEndpoint endpoint = connection.endpoint;
        // the last one is the usual case, and a search would find it last
        if (endpoint.idle.peekLast() == connection) {
            endpoint.idle.pollLast();
        } else {
            endpoint.idle.remove(connection);
        }
        idle.remove(connection);
    }
}
