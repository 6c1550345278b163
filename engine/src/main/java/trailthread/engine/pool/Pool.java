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

    private final EventLoop loop;
    private final PoolConfig config;
    private final Shares shares;
    private final PoolQuotas quotas;
    private final EndpointPool endpoints;
    private final RequestDispatcher dispatcher;
    private final EndpointListSource discovery;
    private final PoolMetrics metrics;

    /** Whether the request that is delivered to the balancer now is within the pool's quotas. */
    private boolean withinQuota;

    private DiscoveryUpdate known = NO_ENDPOINTS;
    private boolean retired;

    /**
     * Makes a pool, which serves from {@link #start} on.
     *
     * @param seed of its balancer's random numbers
     * @param operators records its metrics, beside those of the other pools
     * @throws IllegalArgumentException if its guarantees are more than there is, or its settings
     *     are invalid
     */
    public Pool(
            EventLoop loop,
            PoolConfig config,
            long seed,
            Shares shares,
            MetricsRecorder operators) {
        this.loop = loop;
        this.config = config;
        this.shares = shares;
        quotas = new PoolQuotas(shares, config.limits());
        Settings settings = config.settings();
        endpoints =
                new EndpointPool(
                        loop,
                        settings.connectTimeoutNs,
                        config.attemptPolicy().idleCloseNs(),
                        config.attemptPolicy().drainGraceNs(),
                        new PoolConnectionLimit(loop, shares, quotas.connections),
                        settings.latencyResolutionNs(),
                        this);
        metrics = new PoolMetrics(config.name(), operators);
        dispatcher = new RequestDispatcher(loop, endpoints, settings, seed, metrics);
        dispatcher.setAdmission((requestClass, overQuota, random) -> withinQuota);
        discovery = discovery(config.source());
        dispatcher.setDiscovery(discovery);
        shares.add(this);
    }

    private EndpointListSource discovery(PoolConfig.Source source) {
        if (source instanceof PoolConfig.Source.Discovery server) {
            return new DiscoveryClient(loop, EndpointPool.address(server.hostPort()), this);
        }
        if (source instanceof PoolConfig.Source.ListFile file) {
            return new EndpointListFile(loop, Path.of(file.path()), this);
        }
        return new StaticEndpointList(loop, ((PoolConfig.Source.Fixed) source).hostPorts(), this);
    }

    /**
     * Serves from now on.
     *
     * @param before the endpoint list of an earlier pool with this source; null: there was none
     */
    public void start(DiscoveryUpdate before) {
        if (before != null) {
            discovery.setKnownList(before);
            apply(ListKind.CACHED, before, loop.now());
        } else {
            apply(ListKind.CACHED, known, loop.now());
        }
        discovery.start();
    }

    /**
     * Shuts down gracefully: admits nothing from now on, finishes its open requests, and then
     * closes its connections and leaves the quotas.
     */
    public void retire() {
        if (retired) {
            return;
        }
        retired = true;
        discovery.close();
        quotas.dropGuarantees();
        dispatcher.retire(this::lastRequestEnded);
    }

    private void lastRequestEnded() {
        endpoints.update(NO_ENDPOINTS, loop.now());
        quotas.leave();
        shares.remove(this);
        metrics.poolRemoved();
        LOG.info("pool {} has ended", config.name());
    }

    /** What it was made from. */
    public PoolConfig config() {
        return config;
    }

    /** Its endpoints, as discovery last gave them. */
    public DiscoveryUpdate known() {
        return known;
    }

    /** How many connections to its endpoints there are in each state. */
    public Map<String, Integer> connections() {
        return endpoints.connections();
    }

    /** How many of its endpoints the balancer avoids now. */
    public int avoidedEndpoints() {
        return dispatcher.avoidedEndpoints();
    }

    /** How many requests are open. */
    public long open() {
        return quotas.requests.held();
    }

    /** The fraction of the thread's time that it has used of late, 0 to about 1. */
    public double loopShare() {
        return quotas.loopTime.fraction(loop.now());
    }

    /** Whether a body of so many bytes may be buffered; {@link #releaseBody} follows if so. */
    public boolean reserveBody(long bytes) {
        return quotas.acquireBody(bytes, loop.now());
    }

    /** A body is buffered no more. */
    public void releaseBody(long bytes) {
        quotas.releaseBody(bytes);
    }

    @Override
    public Runnable handle(ClientRequest request, long deadline, ClientResponse response) {
        return handle(request, deadline, response, 0);
    }

    /**
     * Admits a request. One beyond the pool's quotas is delivered to the balancer too, which
     * rejects it.
     *
     * @param bodyBytes how many bytes were acquired for its body; they are released with its end.
     *     -1: they could not be acquired
     */
    public Runnable handle(
            ClientRequest request, long deadline, ClientResponse response, long bodyBytes) {
        QuotaReleasingResponse releasing =
                new QuotaReleasingResponse(response, quotas, Math.max(0, bodyBytes));
        runCharged(() -> admit(request, deadline, releasing, bodyBytes >= 0));
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
        response.setWhenDisconnected(dispatcher.handle(request, deadline, response));
    }

    @Override
    public boolean isOpen(String clientId) {
        return dispatcher.isOpen(clientId);
    }

    @Override
    public void addTimeNs(long ns) {
        quotas.loopTime.used(ns, loop.now());
    }

    @Override
    public void updated(DiscoveryUpdate update, long knownSince) {
        if (!retired) {
            apply(update.reset() ? ListKind.FULL : ListKind.DELTA, update, knownSince);
        }
    }

    @Override
    public void failed() {
        if (!retired) {
            dispatcher.updateEndpointList(ListKind.FAILED, List.of());
        }
    }

    private void apply(ListKind kind, DiscoveryUpdate update, long knownSince) {
        known = update.onto(known);
        endpoints.update(update, knownSince);
        List<EndpointEntry> entries = new ArrayList<>();
        update.instances().forEach(endpoint -> entries.add(endpoint.entry()));
        metrics.endpointListUpdated(kind, entries);
        dispatcher.updateEndpointList(kind, entries);
    }

    /** Closes idle connections as far as the pool holds more than its part and others want some. */
    void closeExcessIdleConnections() {
        long excess = quotas.connections.excess(loop.now());
        if (excess > 0) {
            endpoints.closeIdle((int) excess);
        }
    }
}
