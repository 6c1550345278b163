package trailthread.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.ListLease;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReportSource;
import trailthread.api.RequestClass;
import trailthread.daemon.admin.AdminServer;
import trailthread.daemon.listener.HttpListener;
import trailthread.daemon.listener.PlatformFrontend;
import trailthread.engine.degradation.DegradationService;
import trailthread.engine.discovery.DiscoveredEndpoint;
import trailthread.engine.discovery.DiscoveryClient;
import trailthread.engine.discovery.DiscoveryListener;
import trailthread.engine.discovery.DiscoveryUpdate;
import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeStatus;
import trailthread.engine.request.RequestDispatcher;

/** One node: its parts, how they are joined, its start and its end. */
final class Node implements DiscoveryListener, NodeStatus {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);

    /** Descriptors that the virtual machine, the listening socket and discovery take. */
    private static final int OWN_DESCRIPTORS = 48;

    /**
     * Share of the others for connections to clients. Their calls need up to a third of all; the
     * rest of this is room for connections that carry none as yet, or no more.
     */
    private static final double CLIENTS_SHARE = 0.6;

    /** Of all descriptors, clients with calls hold no more than this share. */
    private static final double CALLERS_SHARE = 1.0 / 3;

    /**
     * At its start a node asks so many endpoints for their load: by chance, one alone may be idle.
     */
    private static final int ASKED_AT_START = 4;

    private static final long ASKED_WITHIN_NS = 300_000_000L;

    /**
     * A start waits so long for its list before it is ready without one. The first calls of a fleet
     * are spread over as long; a front that has no other node is to hear refusals then, and not
     * nothing.
     */
    private static final long LIST_WITHIN_NS = 4_500_000_000L;

    private volatile NodeConfig config;
    private final EventLoop loop;
    private final EndpointPool endpoints;
    private final RequestDispatcher calls;
    private final LoopbackWarmUp warmUp;
    private final PlatformFrontend front;
    private final DiscoveryClient discovery;
    private final ListLease lease;

    /** What waits for the list to be usable, or null. */
    private Runnable whenListed;

    private final HttpListener acceptor;
    private final Drain drain;
    private final GracefulShutdown shutdown;

    /** Null where operators are told nothing: no class of it is loaded then. */
    private final AdminServer operator;

    /** Null where the node has no levels of service: no class of it is loaded then. */
    private final DegradationService service;

    private final MetricsRecorder meter;

    Node(NodeConfig config) throws IOException {
        this.config = config;
        loop = new EventLoop(config.name());
        operator =
                config.adminAddress() == null
                        ? null
                        : new AdminServer(loop, config.name(), config.settings().classes, this);
        MetricsRecorder operators = operator == null ? MetricsRecorder.OFF : operator.meter();
        service =
                config.degradation() == null
                        ? null
                        : new DegradationService(
                                loop, config.degradation(), config.settings(), operators);
        meter = service == null ? operators : service;
        int forOthers = config.descriptorLimit() - ownDescriptors();
        int forClients = (int) (CLIENTS_SHARE * forOthers);
        endpoints =
                new EndpointPool(
                        loop,
                        config.settings().connectTimeoutNs,
                        config.idleCloseNs(),
                        config.drainGraceNs(),
                        ConnectionLimit.of(forOthers - forClients),
                        config.settings().latencyResolutionNs(),
                        CpuAccount.NONE);
        calls = new RequestDispatcher(loop, endpoints, config.settings(), config.seed(), meter);
        discovery = new DiscoveryClient(loop, config.discoveryAddress(), this);
        calls.setDiscovery(discovery);
        endpoints.setNews(discovery::readNews);
        lease = new ListLease(config.drainGraceNs(), !config.settings().listIsPolled);
        warmUp = new LoopbackWarmUp(loop, config, calls);
        front = new PlatformFrontend(config.settings().classes, warmUp);
        acceptor =
                new HttpListener(
                        loop,
                        forClients,
                        Math.min(forClients, (int) (CALLERS_SHARE * config.descriptorLimit())),
                        front,
                        meter);
        drain = new Drain(loop, acceptor);
        shutdown = new GracefulShutdown(loop, acceptor, drain, calls::answerBy);
        shutdown.waitsFor(longestNs(config));
    }

    /**
     * Opens the clients' address and serves from then on.
     *
     * @param given the clients' socket, already listening and shared with other processes; null: it
     *     is opened here
     */
    void start(ServerSocketChannel given) throws IOException {
        if (operator != null) {
            operator.listen(config.adminAddress(), drain);
        }
        // On a shared socket the node's calls to itself could reach another process, and endpoints
        // through it.
        InetSocketAddress self =
                acceptor.listen(
                        given == null
                                ? config.listenAddress()
                                : new InetSocketAddress(config.listenAddress().getAddress(), 0));
        loop.execute(
                () -> {
                    leased();
                    discovery.known(config.knownEndpoints());
                    list(ListKind.CACHED, config.knownEndpoints(), loop.now());
                    discovery.setPushed(!config.settings().listIsPolled);
                    long startedAt = loop.now();
                    warmUp.start(
                            self,
                            askAround(),
                            given != null,
                            () -> awaitList(startedAt, () -> serve(self, given)));
                });
    }

    /**
     * A process that is not ready gets no requests; one that has no list could only refuse them.
     */
    private void awaitList(long startedAt, Runnable then) {
        if (lease.isHeld(loop.now())) {
            then.run();
            return;
        }
        LOG.info("waits for the list before it is ready");
        whenListed = then;
        loop.after(
                startedAt + LIST_WITHIN_NS - loop.now(),
                () -> {
                    if (whenListed != null) {
                        LOG.warn(
                                "no list in {} ms: ready without one",
                                (loop.now() - startedAt) / 1_000_000);
                        listed();
                    }
                });
    }

    private void listed() {
        Runnable then = whenListed;
        whenListed = null;
        if (then != null) {
            then.run();
        }
    }

    private void serve(InetSocketAddress self, ServerSocketChannel given) {
        if (drain.hasEnded()) {
            return; // told to end before it was ready: what it accepts now it might not answer
        }
        if (given != null) {
            share(given);
        }
        acceptor.setReady(true);
        if (service != null) {
            calls.setProbes(service::probes);
            service.start(this::descriptors, calls::admit);
        }
        LOG.info("{} serves on {}", config.name(), given == null ? self : config.listenAddress());
    }

    private void share(ServerSocketChannel given) {
        try {
            acceptor.share(given);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Asks some endpoints for their load, if it may; whether it does. */
    private boolean askAround() {
        List<String> some =
                config.knownEndpoints().instances().stream()
                        .filter(endpoint -> endpoint.lifecycle() == EndpointState.READY)
                        .limit(ASKED_AT_START)
                        .map(DiscoveredEndpoint::instanceId)
                        .toList();
        boolean may =
                config.settings().mayCheckHealth
                        && config.settings().reports != LoadReportSource.NONE;
        if (may) {
            some.forEach(
                    endpoint ->
                            endpoints.probe(
                                    endpoint,
                                    ASKED_WITHIN_NS,
                                    ending -> warmUp.told(ending.load())));
        }
        return may && !some.isEmpty();
    }

    /**
     * Takes over settings and where discovery is now, if the file is of use as a whole; list,
     * connections and calls stay. What the file says of all else waits for the next start. It is
     * read beside the loop, one reading after another.
     */
    void reload(Map<String, String> environment) {
        loop.worker()
                .execute(
                        () -> {
                            try {
                                NodeConfig now = config.reload(environment);
                                config = now;
                                shutdown.waitsFor(longestNs(now));
                                loop.execute(() -> takeOver(now));
                            } catch (ConfigException e) {
                                LOG.error("configuration not taken over: {}", e.getMessage());
                                loop.execute(() -> meter.reloaded(false));
                            }
                        });
    }

    private void takeOver(NodeConfig now) {
        if (discovery.move(now.discoveryAddress())) {
            lease.moved(loop.now());
        }
        discovery.setPushed(!now.settings().listIsPolled);
        calls.retune(now.settings());
        lease.retune(now.drainGraceNs(), !now.settings().listIsPolled);
        leased();
        endpoints.retune(now.settings().connectTimeoutNs, now.idleCloseNs(), now.drainGraceNs());
        front.retune(now.settings().classes);
        if (operator != null) {
            operator.serves(now.settings().classes);
        }
        meter.reloaded(true);
        LOG.info(
                "configuration taken over: {} classes, {} attempts at most",
                now.settings().classes.size(),
                now.settings().maxAttempts);
    }

    /**
     * Serves on for a while, then finishes every call taken; returns when all have had their time.
     */
    void stop() throws InterruptedException {
        shutdown.await(config.name());
    }

    private static long longestNs(NodeConfig of) {
        return of.settings().classes.stream()
                .mapToLong(RequestClass::deadlineNs)
                .max()
                .orElseThrow();
    }

    @Override
    public boolean isReady() {
        return acceptor.isReady();
    }

    @Override
    public List<String> levels() {
        return service == null ? List.of() : service.levels();
    }

    @Override
    public Map<String, Double> readings() {
        return service == null ? Map.of() : service.readings();
    }

    @Override
    public Map<String, Integer> clientConnections() {
        return acceptor.connections();
    }

    @Override
    public Map<String, Integer> endpointConnections() {
        return endpoints.connections();
    }

    @Override
    public int avoidedEndpoints() {
        return calls.avoidedEndpoints();
    }

    @Override
    public int descriptorLimit() {
        return config.descriptorLimit();
    }

    private int ownDescriptors() {
        return OWN_DESCRIPTORS + (operator == null ? 0 : AdminServer.MOST_DESCRIPTORS);
    }

    /**
     * The share of the descriptors in use, as far as the node knows: its connections, and its own.
     */
    private double descriptors() {
        int held = ownDescriptors();
        for (int connections : acceptor.connections().values()) {
            held += connections;
        }
        for (int connections : endpoints.connections().values()) {
            held += connections;
        }
        return Math.min(1, (double) held / config.descriptorLimit());
    }

    @Override
    public void told(DiscoveryUpdate update, long knownSince) {
        list(update.reset() ? ListKind.FULL : ListKind.DELTA, update, knownSince);
    }

    @Override
    public void failed() {
        calls.list(ListKind.FAILED, List.of());
    }

    @Override
    public void confirmed(long asOf) {
        lease.confirmed(asOf);
        leased();
    }

    @Override
    public void callFailed(long waitedSince) {
        lease.callFailed(waitedSince, loop.now());
        leased();
    }

    /** Brings the lease to all that act on the list. */
    private void leased() {
        endpoints.listLeaseUntil(lease.until());
        calls.listLeaseUntil(lease.until());
        if (lease.isHeld(loop.now())) {
            listed();
        }
    }

    private void list(ListKind kind, DiscoveryUpdate update, long knownSince) {
        endpoints.update(update, knownSince);
        List<EndpointEntry> entries = new ArrayList<>();
        for (DiscoveredEndpoint e : update.instances()) {
            entries.add(e.entry());
        }
        meter.listed(kind, entries);
        calls.list(kind, entries);
    }
}
