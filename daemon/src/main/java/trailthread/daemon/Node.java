package trailthread.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.ListLease;
import trailthread.daemon.admin.AdminServer;
import trailthread.daemon.listener.HttpListener;
import trailthread.daemon.listener.PlatformFrontend;
import trailthread.engine.degradation.DegradationService;
import trailthread.engine.discovery.DiscoveryClient;
import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.CpuAccount;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeStatus;
import trailthread.engine.request.RequestDispatcher;

/** A platform node: connects its components; starts, reloads and stops them. */
final class Node implements NodeStatus {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);

    /** The largest share of all descriptors that clients with requests in flight may hold. */
    private static final double ACTIVE_CLIENTS_SHARE = 1.0 / 3;

    private volatile NodeConfig config;
    private final DescriptorBudget descriptors;
    private final EventLoop loop;

    /** Null if there is no admin server; its classes are not loaded then. */
    private final AdminServer admin;

    /** Null if there are no degradation levels; its classes are not loaded then. */
    private final DegradationService degradation;

    private final MetricsRecorder metrics;
    private final EndpointPool endpoints;
    private final RequestDispatcher requests;
    private final EndpointListUpdater endpointList;
    private final DiscoveryClient discovery;
    private final LoopbackWarmUp loopbackWarmUp;
    private final PlatformFrontend frontend;
    private final HttpListener listener;
    private final Drain drain;
    private final GracefulShutdown shutdown;

    /**
     * Creates a node that does nothing until it is started.
     *
     * @throws IOException if the event loop can't be created
     */
    Node(NodeConfig config) throws IOException {
        this.config = config;
        descriptors = DescriptorBudget.of(config.descriptorLimit(), config.adminAddress() != null);
        loop = new EventLoop(config.name());
        admin = adminServer(config);
        MetricsRecorder adminMetrics =
                admin == null ? MetricsRecorder.OFF : admin.metricsRecorder();
        degradation = degradationService(config, adminMetrics);
        metrics = degradation == null ? adminMetrics : degradation;
        endpoints =
                new EndpointPool(
                        loop,
                        config.settings().connectTimeoutNs,
                        config.idleCloseNs(),
                        config.drainGraceNs(),
                        ConnectionLimit.of(descriptors.forEndpoints()),
                        config.settings().latencyResolutionNs(),
                        CpuAccount.NONE);
        endpoints.setSurplusListener(metrics::surplusReceived);
        requests =
                new RequestDispatcher(loop, endpoints, config.settings(), config.seed(), metrics);
        endpointList =
                new EndpointListUpdater(
                        loop,
                        endpoints,
                        requests,
                        metrics,
                        new ListLease(config.drainGraceNs(), !config.settings().listIsPolled));
        discovery = new DiscoveryClient(loop, config.discoveryAddress(), endpointList);
        requests.setDiscovery(discovery);
        endpoints.setUpdateReader(discovery::readArrivedUpdates);
        loopbackWarmUp = new LoopbackWarmUp(loop, config, requests);
        frontend = new PlatformFrontend(config.settings().classes, loopbackWarmUp);
        listener =
                new HttpListener(
                        loop, descriptors.forClients(), maxActiveClients(), frontend, metrics);
        drain = new Drain(loop, listener);
        shutdown = new GracefulShutdown(loop, listener, drain, requests::setAnswerDeadlines);
        shutdown.setLongestDeadline(config.longestDeadlineNs());
    }

    private int maxActiveClients() {
        int activeClients = (int) (ACTIVE_CLIENTS_SHARE * descriptors.limit());
        return Math.min(descriptors.forClients(), activeClients);
    }

    private AdminServer adminServer(NodeConfig config) throws IOException {
        if (config.adminAddress() == null) {
            return null;
        }
        return new AdminServer(loop, config.name(), config.settings().classes, this);
    }

    private DegradationService degradationService(NodeConfig config, MetricsRecorder next) {
        if (config.degradation() == null) {
            return null;
        }
        return new DegradationService(loop, config.degradation(), config.settings(), next);
    }

    /**
     * Starts the node. It warms up, waits for the endpoint list and then serves clients.
     *
     * @param inherited the listening socket for clients, shared with other processes; or null, to
     *     open the configured address
     * @throws IOException if an address can't be listened on
     */
    void start(ServerSocketChannel inherited) throws IOException {
        if (admin != null) {
            admin.listen(config.adminAddress(), drain);
        }
        InetSocketAddress ownAddress = listener.listen(warmUpAddress(inherited));
        loop.execute(() -> startOnLoop(ownAddress, inherited));
    }

    /**
     * The address of the node during the warm-up. Over a shared socket, its requests to itself
     * could reach another process, which would forward them to real endpoints.
     */
    private InetSocketAddress warmUpAddress(ServerSocketChannel inherited) {
        InetSocketAddress configured = config.listenAddress();
        return inherited == null ? configured : new InetSocketAddress(configured.getAddress(), 0);
    }

    private void startOnLoop(InetSocketAddress ownAddress, ServerSocketChannel inherited) {
        discovery.setKnownList(config.knownEndpoints());
        endpointList.start(config.knownEndpoints());
        discovery.setPushed(!config.settings().listIsPolled);
        new StartSequence(loop, config, endpoints, endpointList, loopbackWarmUp)
                .run(ownAddress, inherited != null, () -> startServing(ownAddress, inherited));
    }

    private void startServing(InetSocketAddress ownAddress, ServerSocketChannel inherited) {
        if (drain.isShuttingDown()) {
            return; // a request accepted now might get no response
        }
        if (inherited != null) {
            acceptFromInherited(inherited);
        }
        listener.setReady(true);
        if (degradation != null) {
            requests.setHealthCheckFilter(degradation::permitsHealthCheck);
            degradation.start(this::descriptorUse, requests::setAdmission);
        }
        LOG.info(
                "{} serves on {}",
                config.name(),
                inherited == null ? ownAddress : config.listenAddress());
    }

    private void acceptFromInherited(ServerSocketChannel inherited) {
        try {
            listener.listenOnInherited(inherited);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads the configuration again, on a worker thread, one reload after another. Settings and the
     * address of discovery are applied if the file is valid; else all stays as it was. Connections,
     * requests in flight and the endpoint list are kept. Changes of other keys take effect at the
     * next start.
     */
    void reload(Map<String, String> environment) {
        loop.xnioWorker().execute(() -> readAndApply(environment));
    }

    private void readAndApply(Map<String, String> environment) {
        try {
            NodeConfig next = config.reload(environment);
            config = next;
            shutdown.setLongestDeadline(next.longestDeadlineNs());
            loop.execute(() -> apply(next));
        } catch (ConfigException e) {
            LOG.error("configuration not applied: {}", e.getMessage());
            loop.execute(() -> metrics.configurationReloaded(false));
        }
    }

    private void apply(NodeConfig next) {
        boolean pushed = !next.settings().listIsPolled;
        if (discovery.setAddress(next.discoveryAddress())) {
            endpointList.sourceChanged();
        }
        discovery.setPushed(pushed);
        requests.applySettings(next.settings());
        endpointList.applySettings(next.drainGraceNs(), pushed);
        endpoints.setTimeouts(
                next.settings().connectTimeoutNs, next.idleCloseNs(), next.drainGraceNs());
        frontend.applySettings(next.settings().classes);
        if (admin != null) {
            admin.addClasses(next.settings().classes);
        }
        metrics.configurationReloaded(true);
        LOG.info(
                "configuration applied: {} request classes, at most {} attempts",
                next.settings().classes.size(),
                next.settings().maxAttempts);
    }

    /**
     * Shuts the node down gracefully: keeps serving for a while, then finishes the requests in
     * flight. Returns when the process may exit.
     */
    void stop() throws InterruptedException {
        shutdown.run(config.name());
    }

    @Override
    public boolean isReady() {
        return listener.isReady();
    }

    @Override
    public List<String> levels() {
        return degradation == null ? List.of() : degradation.levels();
    }

    @Override
    public Map<String, Double> readings() {
        return degradation == null ? Map.of() : degradation.readings();
    }

    @Override
    public Map<String, Integer> clientConnections() {
        return listener.connectionsByState();
    }

    @Override
    public Map<String, Integer> endpointConnections() {
        return endpoints.connections();
    }

    @Override
    public long messageMemoryBytes() {
        return listener.messageMemoryBytes();
    }

    @Override
    public int avoidedEndpoints() {
        return requests.avoidedEndpoints();
    }

    @Override
    public int descriptorLimit() {
        return descriptors.limit();
    }

    /** The share of the descriptors that connections use or the process reserves, 0 to 1. */
    private double descriptorUse() {
        int used = descriptors.reserved();
        for (int connections : listener.connectionsByState().values()) {
            used += connections;
        }
        for (int connections : endpoints.connections().values()) {
            used += connections;
        }
        return Math.min(1, (double) used / descriptors.limit());
    }
}
