package trailthread.engine.endpoint;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import trailthread.ListLease;
import trailthread.engine.http.ConnectionListener;
import trailthread.engine.http.HttpConnection;
import trailthread.engine.http.HttpConnector;
import trailthread.engine.http.Surplus;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * The connections to all endpoints. They are opened on demand, kept while idle, and limited in
 * total. Also checks, right before a request is written, whether the endpoint list still allows the
 * request.
 */
final class ConnectionPool {
    /**
     * An idle connection is closed after this fraction of the time for which its endpoint keeps it
     * open, so that no request is sent on a connection that the endpoint is closing.
     */
    private static final double IDLE_TIME_FRACTION = 0.8;

    /** How many times the idle connections are checked within the time for which they are kept. */
    private static final int SWEEPS_PER_IDLE_TIME = 20;

    private static final long MIN_SWEEP_INTERVAL_NS = 10_000_000L;

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
    private final EndpointLog log;
    private final ConnectionLimit limit;
    private final CpuAccount account;
    private final ReuseDelay reuseDelay = new ReuseDelay();
    private long connectTimeoutNs;

    /** How long an idle connection is kept. */
    private long keepIdleNs;

    private long drainGraceNs;

    /** No request is sent to any endpoint then or later, as the endpoint list is too old. */
    private long listLeaseEnd = Long.MAX_VALUE;

    private Runnable updateReader = () -> {};

    /** Receives the id of each endpoint that has sent surplus bytes. */
    private Consumer<String> surplusListener = endpoint -> {};

    /** The idle connections of all endpoints, the one that is idle longest first. */
    private final Set<IdleConnection> idle = new LinkedHashSet<>();

    /** The number of connections, including those that are being established. */
    private int openCount;

    private boolean sweepScheduled;

    ConnectionPool(
            EventLoop loop,
            EndpointLog log,
            long connectTimeoutNs,
            long endpointIdleNs,
            long drainGraceNs,
            ConnectionLimit limit,
            CpuAccount account) {
        this.loop = loop;
        this.log = log;
        this.limit = limit;
        this.account = account;
        setTimeouts(connectTimeoutNs, endpointIdleNs, drainGraceNs);
    }

    /**
     * Changes the timeouts.
     *
     * @param endpointIdleNs how long an endpoint keeps an idle connection open, in nanoseconds
     */
    void setTimeouts(long connectTimeoutNs, long endpointIdleNs, long drainGraceNs) {
        this.connectTimeoutNs = connectTimeoutNs;
        keepIdleNs = (long) (IDLE_TIME_FRACTION * endpointIdleNs);
        this.drainGraceNs = ListLease.usableGraceNs(drainGraceNs);
    }

    long connectTimeoutNs() {
        return connectTimeoutNs;
    }

    /** Sets until when the endpoint list may be used, by {@link EventLoop#now}. */
    void setListLeaseEnd(long until) {
        listLeaseEnd = until;
    }

    /** Sets a listener for the ids of endpoints that send surplus bytes. */
    void setSurplusListener(Consumer<String> listener) {
        surplusListener = listener;
    }

    /** Sets a task that reads the updates of the endpoint list that have arrived. */
    void setUpdateReader(Runnable reader) {
        updateReader = reader;
    }

    /**
     * Returns whether a request may be sent to an endpoint now, given all updates that have arrived
     * from discovery. A health check is sent even if the list is too old.
     */
    boolean maySend(PooledEndpoint endpoint, boolean isHealthCheck) {
        // Updates count as known once they have arrived, even if the loop has not read them yet.
        updateReader.run();
        long now = loop.now();
        return endpoint.acceptsRequests(now, drainGraceNs) && (isHealthCheck || now < listLeaseEnd);
    }

    /** Makes connections reusable as soon as their response is complete. */
    void reuseAtOnce() {
        reuseDelay.disable();
    }

    /**
     * Takes an idle connection to the endpoint out of the pool; returns null if there is none that
     * may carry a request now.
     */
    HttpConnection takeIdle(PooledEndpoint endpoint) {
        if (isSingleUse(endpoint)) {
            return null;
        }
        IdleConnection next = lastUsedReusable(endpoint);
        while (next != null) {
            remove(next);
            if (isExpired(next)) {
                // the sweep is late, and the endpoint may be closing this connection right now
                next.connection.close();
            } else if (next.connection.readAndCheckIdle()) {
                return next.connection;
            }
            next = lastUsedReusable(endpoint);
        }
        return null;
    }

    /**
     * Returns how long a new connection is idle before it carries its first request, in
     * nanoseconds.
     *
     * @param connectNs how long the connect took
     */
    long firstUseDelayNs(long connectNs) {
        return reuseDelay.firstUseNs(connectNs);
    }

    /** Returns whether the endpoint's connections carry one request only for now. */
    boolean isSingleUse(PooledEndpoint endpoint) {
        return endpoint.isSingleUse(loop.now());
    }

    /** Returns the connection used last among those that may carry a request now, or null. */
    private IdleConnection lastUsedReusable(PooledEndpoint endpoint) {
        long now = loop.now();
        long idleSince = now - reuseDelay.ns(now);
        Iterator<IdleConnection> lastFirst = endpoint.idleConnections.descendingIterator();
        while (lastFirst.hasNext()) {
            IdleConnection next = lastFirst.next();
            if (next.connection.isUnused() || next.connection.idleSince() <= idleSince) {
                return next;
            }
        }
        return null;
    }

    /**
     * Reserves a permit for a connection that {@link #connect} opens. If none is free, closes an
     * idle connection to free one.
     *
     * @return false if the limit of this node is used up by busy connections
     */
    boolean tryReserve() {
        if (limit.tryAcquire()) {
            return true;
        }
        if (idle.isEmpty()) {
            return false;
        }
        closeLongestIdle();
        return limit.tryAcquire();
    }

    /**
     * Opens a connection, for which a permit has been reserved.
     *
     * @param opened receives the connection, or null if it could not be established; never from
     *     within this call
     * @return cancels the connect
     */
    Runnable connect(PooledEndpoint endpoint, Consumer<HttpConnection> opened) {
        openCount++;
        Runnable cancel =
                HttpConnector.open(
                        loop,
                        endpoint.address,
                        account,
                        new PooledConnectionListener(endpoint),
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

    private void connectionClosed() {
        openCount--;
        limit.release();
    }

    /** Receives the events of one connection. */
    private final class PooledConnectionListener implements ConnectionListener {
        private final PooledEndpoint endpoint;

        PooledConnectionListener(PooledEndpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public void closed() {
            connectionClosed();
        }

        @Override
        public void surplusReceived(Surplus surplus) {
            handleSurplus(endpoint, surplus);
        }
    }

    /** Trusts no other connection to the endpoint either, and lets all connections rest longer. */
    private void handleSurplus(PooledEndpoint endpoint, Surplus surplus) {
        long now = loop.now();
        reuseDelay.surplusReceived(now, surplus.afterNs());
        endpoint.surplusReceived(now);
        closeIdle(endpoint);
        log.surplusReceived(endpoint.instanceId, surplus, reuseDelay.ns(now));
        surplusListener.accept(endpoint.instanceId);
    }

    /** Returns a connection to the pool, or closes it if it cannot or must not be kept idle. */
    void release(PooledEndpoint endpoint, HttpConnection connection) {
        if (!endpoint.listed || !limit.mayKeepIdle() || isSingleUse(endpoint)) {
            connection.close();
        }
        if (!connection.isIdle()) {
            return;
        }
        IdleConnection released = new IdleConnection(endpoint, connection);
        endpoint.idleConnections.addLast(released);
        idle.add(released);
        if (!sweepScheduled) {
            sweepScheduled = true;
            loop.schedule(keepIdleNs, this::sweep);
        }
    }

    /**
     * Closes the connections that have been idle for too long. One timer serves all connections, as
     * most are used again long before they expire.
     */
    private void sweep() {
        while (!idle.isEmpty() && isExpired(idle.iterator().next())) {
            closeLongestIdle();
        }
        sweepScheduled = !idle.isEmpty();
        if (sweepScheduled) {
            loop.schedule(
                    Math.max(keepIdleNs / SWEEPS_PER_IDLE_TIME, MIN_SWEEP_INTERVAL_NS),
                    this::sweep);
        }
    }

    private boolean isExpired(IdleConnection candidate) {
        return loop.now() - candidate.connection.idleSince() >= keepIdleNs;
    }

    /** Closes up to this many idle connections to any endpoints, those idle longest first. */
    void closeIdle(int count) {
        for (int i = 0; i < count && !idle.isEmpty(); i++) {
            closeLongestIdle();
        }
    }

    /** Closes all idle connections to the endpoint. */
    void closeIdle(PooledEndpoint endpoint) {
        while (!endpoint.idleConnections.isEmpty()) {
            close(endpoint.idleConnections.peekLast());
        }
    }

    /** Returns the number of connections by state, "idle" or "busy". */
    Map<String, Integer> countByState() {
        return Map.of("idle", idle.size(), "busy", openCount - idle.size());
    }

    private void closeLongestIdle() {
        close(idle.iterator().next());
    }

    private void close(IdleConnection closing) {
        remove(closing);
        closing.connection.close();
    }

    private void remove(IdleConnection removed) {
        PooledEndpoint endpoint = removed.endpoint;
        // usually the last connection is removed; a search from the start would reach it last
        if (endpoint.idleConnections.peekLast() == removed) {
            endpoint.idleConnections.pollLast();
        } else {
            endpoint.idleConnections.remove(removed);
        }
        idle.remove(removed);
    }
}
