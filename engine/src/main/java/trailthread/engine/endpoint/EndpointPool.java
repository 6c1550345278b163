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

/** The endpoints that discovery has named, by instance, and the connections to them. */
public final class EndpointPool {
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final ConnectionPool connections;
    private final EventLoop loop;
    private final long fineNs;
    private final CpuAccount account;

    /**
     * @param idleNs how long an endpoint leaves an idle connection open
     * @param room for connections over all endpoints
     * @param fineNs differences in the time of answers that matter to nobody
     * @param account what the thread does for these endpoints is put down to
     */
    public EndpointPool(
            EventLoop loop,
            long connectTimeoutNs,
            long idleNs,
            long drainGraceNs,
            ConnectionLimit room,
            long fineNs,
            CpuAccount account) {
        this.loop = loop;
        this.fineNs = fineNs;
        this.account = account;
        this.connections =
                new ConnectionPool(loop, connectTimeoutNs, idleNs, drainGraceNs, room, account);
    }

    /** Other times hold from now on, as in the constructor. */
    public void retune(long connectTimeoutNs, long idleNs, long drainGraceNs) {
        connections.retune(connectTimeoutNs, idleNs, drainGraceNs);
    }

    /**
     * Where an endpoint is, as it is told as address:port.
     *
     * @throws IllegalArgumentException if it is not
     */
    public static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(
                hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    /** Takes in discovery's news. */
    public void update(DiscoveryUpdate update, long now) {
        if (update.reset()) {
            for (Endpoint endpoint : endpoints.values()) {
                endpoint.listed = false;
            }
        }
        for (DiscoveredEndpoint entry : update.instances()) {
            Endpoint endpoint = endpoints.get(entry.instanceId());
            if (endpoint == null || !endpoint.hostPort.equals(entry.hostPort())) {
                if (endpoint != null) {
                    endpoint.listed = false;
                    connections.closeIdle(endpoint);
                }
                endpoint = new Endpoint(entry.instanceId(), entry.hostPort(), fineNs);
                endpoints.put(entry.instanceId(), endpoint);
            }
            endpoint.listed = entry.lifecycle() != EndpointState.GONE;
            endpoint.tell(entry.lifecycle(), now);
        }
        for (Iterator<Endpoint> i = endpoints.values().iterator(); i.hasNext(); ) {
            Endpoint endpoint = i.next();
            if (!endpoint.listed) {
                endpoint.tell(EndpointState.GONE, now);
                connections.closeIdle(endpoint);
                i.remove();
            }
        }
    }

    /**
     * The list may be acted on until this time, by {@link EventLoop#now}: no request is begun
     * later.
     */
    public void listLeaseUntil(long until) {
        connections.listLeaseUntil(until);
    }

    /** What takes in all that discovery has told by now; it is run before each request. */
    public void setNews(Runnable reads) {
        connections.setNews(reads);
    }

    /** How many connections there are in each state. */
    public Map<String, Integer> connections() {
        return connections.byState();
    }

    /** Starts an attempt that may be written for as long as its answer is waited for. */
    public Attempt attempt(
            String instanceId, EndpointRequest request, long timeoutNs, AttemptListener listener) {
        return attempt(instanceId, request, timeoutNs, Long.MAX_VALUE, listener);
    }

    /**
     * Starts an attempt.
     *
     * @param timeoutNs how long its answer is waited for
     * @param writtenBy no byte is written then or later, by {@link EventLoop#now}
     * @param listener hears of it, never from within this call
     */
    public Attempt attempt(
            String instanceId,
            EndpointRequest request,
            long timeoutNs,
            long writtenBy,
            AttemptListener listener) {
        Endpoint endpoint = endpoints.get(instanceId);
        Attempt attempt =
                new Attempt(loop, connections, endpoint, request, timeoutNs, writtenBy, listener);
        loop.execute(() -> account.charge(attempt::start));
        return attempt;
    }

    /** Asks an endpoint for its load; its ending holds what it told. */
    public void probe(String instanceId, long timeoutNs, Consumer<AttemptResult> ended) {
        attempt(instanceId, EndpointRequest.PROBE, timeoutNs, ended::accept);
    }

    /** Closes as many idle connections, to whichever endpoint. */
    public void closeIdle(int count) {
        connections.closeIdle(count);
    }

    /** Closes the idle connections to an endpoint. */
    public void closeIdle(String instanceId) {
        Endpoint endpoint = endpoints.get(instanceId);
        if (endpoint != null) {
            connections.closeIdle(endpoint);
        }
    }
}
