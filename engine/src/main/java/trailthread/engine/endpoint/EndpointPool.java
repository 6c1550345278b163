package trailthread.engine.endpoint;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import trailthread.api.EndpointState;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;

/**
 * The endpoints of the current list, and the connections to them. Used on the event loop's thread.
 */
public final class EndpointPool {
    private final Map<String, PooledEndpoint> endpoints = new HashMap<>();
    private final ConnectionPool connections;
    private final EventLoop loop;
    private final EndpointLog log;
    private final long latencyToleranceNs;
    private final CpuAccount account;

    /**
     * Creates a pool without endpoints. Durations are in nanoseconds.
     *
     * @param idleNs how long an endpoint keeps an idle connection open
     * @param drainGraceNs how long requests may be sent after an endpoint has started to drain
     * @param limit limits the connections to all endpoints together
     * @param latencyToleranceNs differences in latency up to this are ignored
     * @param account is charged with the time that the thread spends on these endpoints
     */
    public EndpointPool(
            EventLoop loop,
            long connectTimeoutNs,
            long idleNs,
            long drainGraceNs,
            ConnectionLimit limit,
            long latencyToleranceNs,
            CpuAccount account) {
        this.loop = loop;
        log = new EndpointLog(loop);
        this.latencyToleranceNs = latencyToleranceNs;
        this.account = account;
        this.connections =
                new ConnectionPool(
                        loop, log, connectTimeoutNs, idleNs, drainGraceNs, limit, account);
    }

    /**
     * To be called if the only endpoint is this process itself: its failures are not logged, and
     * its connections are reused at once, as no surplus response can follow.
     */
    public void useForLoopback() {
        log.disable();
        connections.reuseAtOnce();
    }

    /** Changes the timeouts, which are explained at the constructor. */
    public void setTimeouts(long connectTimeoutNs, long idleNs, long drainGraceNs) {
        connections.setTimeouts(connectTimeoutNs, idleNs, drainGraceNs);
    }

    /**
     * Parses an address of the form address:port.
     *
     * @throws IllegalArgumentException if the port is not a number from 0 to 65535
     */
    public static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(
                hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    /**
     * Applies an update of the endpoint list.
     *
     * @param now by {@link EventLoop#now}
     */
    public void update(DiscoveryUpdate update, long now) {
        if (update.reset()) {
            for (PooledEndpoint endpoint : endpoints.values()) {
                endpoint.listed = false;
            }
        }
        for (DiscoveredEndpoint entry : update.instances()) {
            PooledEndpoint endpoint = findOrAdd(entry);
            endpoint.listed = entry.lifecycle() != EndpointState.GONE;
            endpoint.setState(entry.lifecycle(), now);
        }
        removeUnlisted(now);
    }

    /** Returns the endpoint of an entry; one whose address has changed is replaced by a new one. */
    private PooledEndpoint findOrAdd(DiscoveredEndpoint entry) {
        PooledEndpoint existing = endpoints.get(entry.instanceId());
        if (existing != null && existing.hostPort.equals(entry.hostPort())) {
            return existing;
        }
        if (existing != null) {
            existing.listed = false;
            connections.closeIdle(existing);
        }
        PooledEndpoint added =
                new PooledEndpoint(entry.instanceId(), entry.hostPort(), latencyToleranceNs);
        endpoints.put(entry.instanceId(), added);
        return added;
    }

    private void removeUnlisted(long now) {
        for (Iterator<PooledEndpoint> i = endpoints.values().iterator(); i.hasNext(); ) {
            PooledEndpoint endpoint = i.next();
            if (!endpoint.listed) {
                endpoint.setState(EndpointState.GONE, now);
                connections.closeIdle(endpoint);
                i.remove();
            }
        }
    }

    /**
     * Sets until when the endpoint list may be used, by {@link EventLoop#now}; no request is sent
     * later.
     */
    public void setListLeaseEnd(long until) {
        connections.setListLeaseEnd(until);
    }

    /** Sets a task that reads the list updates that have arrived; it runs before each request. */
    public void setUpdateReader(Runnable reader) {
        connections.setUpdateReader(reader);
    }

    /**
     * Sets a listener for the ids of endpoints that send bytes that are no part of the response to
     * any request; called once for each connection that is closed for it.
     */
    public void setSurplusListener(Consumer<String> listener) {
        connections.setSurplusListener(listener);
    }

    /** Returns the number of connections by state, "idle" or "busy". */
    public Map<String, Integer> connections() {
        return connections.countByState();
    }

    /** Starts an attempt whose request may be written until the timeout. */
    public AttemptExchange attempt(
            String instanceId, EndpointRequest request, long timeoutNs, AttemptListener listener) {
        long deadline = loop.now() + timeoutNs;
        return attempt(instanceId, request, timeoutNs, Long.MAX_VALUE, deadline, listener);
    }

    /**
     * Starts an attempt. If the endpoint is not in the list, the attempt ends with the outcome
     * CONNECT_FAILED.
     *
     * @param timeoutNs how long to wait for the response, in nanoseconds
     * @param writeDeadline no byte is written then or later, by {@link EventLoop#now}
     * @param deadline when the client's time is over, by {@link EventLoop#now}; a long response
     *     that has begun has this time, also where the attempt's timeout is earlier
     * @param listener is never notified from within this call
     */
    public AttemptExchange attempt(
            String instanceId,
            EndpointRequest request,
            long timeoutNs,
            long writeDeadline,
            long deadline,
            AttemptListener listener) {
        PooledEndpoint endpoint = endpoints.get(instanceId);
        AttemptExchange attempt =
                new AttemptExchange(
                        loop,
                        connections,
                        log,
                        endpoint,
                        request,
                        timeoutNs,
                        writeDeadline,
                        deadline,
                        listener);
        loop.execute(() -> account.runCharged(attempt::start));
        return attempt;
    }

    /**
     * Runs a health check, which requests an endpoint's load report.
     *
     * @param timeoutNs how long to wait for the response, in nanoseconds
     * @param ended receives the result, which holds the load report
     */
    public void checkHealth(String instanceId, long timeoutNs, Consumer<AttemptResult> ended) {
        attempt(instanceId, EndpointRequest.HEALTH_CHECK, timeoutNs, ended::accept);
    }

    /** Closes up to this many idle connections to any endpoints. */
    public void closeIdle(int count) {
        connections.closeIdle(count);
    }

    /** Closes the idle connections to one endpoint. */
    public void closeIdle(String instanceId) {
        PooledEndpoint endpoint = endpoints.get(instanceId);
        if (endpoint != null) {
            connections.closeIdle(endpoint);
        }
    }
}
