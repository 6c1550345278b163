package trailthread.engine.pool;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.Settings;
import trailthread.engine.discovery.DiscoveryClient;
import trailthread.engine.discovery.DiscoveryListener;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.discovery.EndpointListFile;
import trailthread.engine.discovery.EndpointListSource;
import trailthread.engine.discovery.StaticEndpointList;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestDispatcher;
import trailthread.engine.request.RequestHandler;

/**
 * One service: its balancer, endpoints and requests, and its part of the quotas that the pools of
 * the process share. Everything runs on the loop's thread.
 */
public final class Pool implements RequestHandler, DiscoveryListener, CpuAccount {
    private static final Logger LOG = LoggerFactory.getLogger(Pool.class);
    private static final DiscoveryUpdate NO_ENDPOINTS = new DiscoveryUpdate(0, true, List.of());

    /** Used instead of a number of bytes if they could not be reserved. */
    public static final long NOT_RESERVED = -1;

    private final EventLoop loop;
    private final PoolConfig config;
    private final SharedQuotas sharedQuotas;
    private final PoolQuotas quotas;
    private final EndpointPool endpoints;
    private final RequestDispatcher dispatcher;
    private final EndpointListSource endpointListSource;
    private final PoolMetrics metrics;

    /** Whether the request that is being delivered to the balancer is within the pool's quotas. */
    private boolean withinQuota;

    private DiscoveryUpdate endpointList = NO_ENDPOINTS;
    private boolean retired;

    /**
     * Makes a pool, which serves from {@link #start} on.
     *
     * @param seed seeds the balancer's random numbers
     * @param recorder records the metrics of all pools
     * @throws IllegalArgumentException if the pool's guarantees exceed what is left of a quota, or
     *     its settings are invalid
     */
    public Pool(
            EventLoop loop,
            PoolConfig config,
            long seed,
            SharedQuotas sharedQuotas,
            MetricsRecorder recorder) {
        this.loop = loop;
        this.config = config;
        this.sharedQuotas = sharedQuotas;
        quotas = new PoolQuotas(sharedQuotas, config.limits());
        Settings settings = config.settings();
        endpoints =
                new EndpointPool(
                        loop,
                        settings.connectTimeoutNs,
                        config.attemptPolicy().idleCloseNs(),
                        config.attemptPolicy().drainGraceNs(),
                        new PoolConnectionLimit(loop, sharedQuotas, quotas.connections),
                        settings.latencyResolutionNs(),
                        this);
        metrics = new PoolMetrics(config.name(), recorder);
        endpoints.setSurplusListener(metrics::surplusReceived);
        dispatcher = new RequestDispatcher(loop, endpoints, settings, seed, metrics);
        dispatcher.setAdmission((requestClass, overQuota, random) -> withinQuota);
        endpointListSource = createListSource(config.source());
        dispatcher.setDiscovery(endpointListSource);
        sharedQuotas.add(this);
    }

    private EndpointListSource createListSource(PoolConfig.Source source) {
        if (source instanceof PoolConfig.Source.Discovery server) {
            return new DiscoveryClient(loop, EndpointPool.address(server.hostPort()), this);
        }
        if (source instanceof PoolConfig.Source.ListFile file) {
            return new EndpointListFile(loop, Path.of(file.path()), this);
        }
        return new StaticEndpointList(loop, ((PoolConfig.Source.Fixed) source).hostPorts(), this);
    }

    /**
     * Starts the pool.
     *
     * @param before the endpoint list of an earlier pool with the same source; null: there was none
     */
    public void start(DiscoveryUpdate before) {
        if (before != null) {
            endpointListSource.setKnownList(before);
            applyUpdate(ListKind.CACHED, before, loop.now());
        } else {
            applyUpdate(ListKind.CACHED, endpointList, loop.now());
        }
        endpointListSource.start();
    }

    /**
     * Shuts down gracefully: admits no more requests, finishes the open ones, and then closes the
     * connections and leaves the quotas.
     */
    public void retire() {
        if (retired) {
            return;
        }
        retired = true;
        endpointListSource.close();
        quotas.dropGuarantees();
        dispatcher.retire(this::releaseResources);
    }

    private void releaseResources() {
        endpoints.update(NO_ENDPOINTS, loop.now());
        quotas.leave();
        sharedQuotas.remove(this);
        metrics.removeEndpoints();
        LOG.info("pool {} has ended", config.name());
    }

    /** Returns the configuration that the pool was created with. */
    public PoolConfig config() {
        return config;
    }

    /** Returns the complete endpoint list as of its last update. */
    public DiscoveryUpdate endpointList() {
        return endpointList;
    }

    /** Returns the number of connections to endpoints in each state. */
    public Map<String, Integer> connections() {
        return endpoints.connections();
    }

    /** Returns the number of endpoints that the balancer avoids now. */
    public int avoidedEndpoints() {
        return dispatcher.avoidedEndpoints();
    }

    /** Returns the number of open requests. */
    public long openRequests() {
        return quotas.requests.held();
    }

    /** Returns the fraction of the loop's recent time that the pool used, 0 to about 1. */
    public double loopShare() {
        return quotas.loopTime.usedFraction(loop.now());
    }

    /**
     * Reserves bytes for the body of a request that is buffered; if they are reserved, {@link
     * #releaseBody} must follow.
     *
     * @return whether the pool's quota allows them
     */
    public boolean reserveBody(long bytes) {
        return quotas.acquireBodyBytes(bytes, loop.now());
    }

    /** Releases the bytes of a body that is no longer buffered. */
    public void releaseBody(long bytes) {
        quotas.releaseBodyBytes(bytes);
    }

    @Override
    public Runnable handle(ClientRequest request, long deadline, ClientResponse response) {
        return handle(request, deadline, response, 0);
    }

    @Override
    public Runnable handleUnadmitted(
            ClientRequest request, long deadline, ClientResponse response) {
        return handle(request, deadline, response, NOT_RESERVED);
    }

    /**
     * Admits a request. A request beyond the pool's quotas is also delivered to the balancer, which
     * rejects it.
     *
     * @param bodyBytes the number of bytes reserved for the request's body, which are released when
     *     the request ends; {@link #NOT_RESERVED}: the quota or the memory did not allow them
     */
    public Runnable handle(
            ClientRequest request, long deadline, ClientResponse response, long bodyBytes) {
        QuotaReleasingResponse releasing =
                new QuotaReleasingResponse(response, quotas, Math.max(0, bodyBytes));
        runCharged(() -> admit(request, deadline, releasing, bodyBytes != NOT_RESERVED));
        return releasing;
    }

    private void admit(
            ClientRequest request,
            long deadline,
            QuotaReleasingResponse response,
            boolean bodyWithinQuota) {
        long now = loop.now();
        withinQuota =
                bodyWithinQuota
                        && !retired
                        && quotas.loopTime.mayStart(now)
                        && quotas.requests.acquire(1, now);
        if (withinQuota) {
            response.countAsOpen();
        }
        response.setDisconnectHandler(dispatcher.handle(request, deadline, response));
    }

    @Override
    public boolean isOpen(String clientId) {
        return dispatcher.isOpen(clientId);
    }

    @Override
    public void addTimeNs(long ns) {
        quotas.loopTime.addUsage(ns, loop.now());
    }

    @Override
    public void listUpdated(DiscoveryUpdate update, long knownSince) {
        if (!retired) {
            applyUpdate(update.reset() ? ListKind.FULL : ListKind.DELTA, update, knownSince);
        }
    }

    @Override
    public void listRequestFailed() {
        if (!retired) {
            dispatcher.updateEndpointList(ListKind.FAILED, List.of());
        }
    }

    private void applyUpdate(ListKind kind, DiscoveryUpdate update, long knownSince) {
        endpointList = update.appliedTo(endpointList);
        endpoints.update(update, knownSince);
        List<EndpointEntry> entries = new ArrayList<>();
        update.instances().forEach(endpoint -> entries.add(endpoint.entry()));
        metrics.endpointListUpdated(kind, entries);
        dispatcher.updateEndpointList(kind, entries);
    }

    /** Closes idle connections if the pool holds more than its part and other pools want some. */
    void closeExcessIdleConnections() {
        long excess = quotas.connections.excess(loop.now());
        if (excess > 0) {
            endpoints.closeIdle((int) excess);
        }
    }
}
