package trailthread.daemon.services;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.RequestClass;
import trailthread.configuration.Fault;
import trailthread.configuration.OperatorFile;
import trailthread.configuration.OperatorFileReader;
import trailthread.daemon.DescriptorBudget;
import trailthread.daemon.Drain;
import trailthread.daemon.GracefulShutdown;
import trailthread.daemon.admin.AdminServer;
import trailthread.daemon.listener.HttpListener;
import trailthread.daemon.listener.ServiceFrontend;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeStatus;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.ServicesConfig;
import trailthread.engine.pool.SharedQuotas;
import trailthread.engine.routes.RouteTable;

/**
 * A node that serves several services, configured by an operator's file: its pools, the routes to
 * them, and their reload.
 */
public final class ServiceNode implements NodeStatus {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceNode.class);

    /**
     * The listener closes idle connections as active clients approach its limit. The limit is set
     * so that the connections for clients are this share of it: idle connections are then closed
     * after 2 s once two thirds of the connections are in use, and after 0.1 s from seven eighths.
     */
    private static final double CLIENTS_SHARE = 0.75;

    private final Path path;

    /** The file whose contents are applied. */
    private volatile OperatorFile file;

    private final EventLoop loop;

    /** Null if there is no admin server. */
    private final AdminServer admin;

    private final MetricsRecorder metrics;
    private final SharedQuotas sharedQuotas;
    private final PoolSet pools;
    private final HttpListener listener;
    private final Drain drain;
    private final GracefulShutdown shutdown;
    private final String idPrefix;
    private long lastId;

    /**
     * Creates a node that does nothing until it is started.
     *
     * @param path where the file was read, and is read again at each reload
     * @param file the file's contents
     * @throws IOException if the event loop can't be created
     */
    public ServiceNode(Path path, OperatorFile file) throws IOException {
        this.path = path;
        this.file = file;
        loop = new EventLoop(file.name());
        SplittableRandom random =
                new SplittableRandom(
                        file.seed() == null ? new SecureRandom().nextLong() : file.seed());
        idPrefix = Long.toHexString(new SecureRandom().nextLong()) + "-";
        admin = adminServer(file);
        metrics = admin == null ? MetricsRecorder.OFF : admin.metricsRecorder();
        ServicesConfig services = file.services();
        sharedQuotas =
                new SharedQuotas(
                        loop, services.requests(), services.connections(), services.bodyBytes());
        pools = new PoolSet(loop, sharedQuotas, random, metrics);
        int forClients = DescriptorBudget.of(file.descriptors(), admin != null).forClients();
        listener =
                new HttpListener(
                        loop,
                        forClients,
                        (int) (forClients / CLIENTS_SHARE),
                        new ServiceFrontend(new RouteTable(List.of()), Map.of(), this::newId),
                        metrics);
        drain = new Drain(loop, listener);
        shutdown = new GracefulShutdown(loop, listener, drain, ServiceNode::ignoreAnswerDeadlines);
    }

    private AdminServer adminServer(OperatorFile file) throws IOException {
        if (file.operatorListen() == null) {
            return null;
        }
        return new AdminServer(loop, file.name(), metricsClasses(file.services()), this);
    }

    /** Requests need no answer deadline, as no platform kills this process. */
    private static void ignoreAnswerDeadlines(long newRequestsBy, long allRequestsBy) {}

    /** The request classes of all pools, each named after its pool and itself. */
    private static List<RequestClass> metricsClasses(ServicesConfig services) {
        List<RequestClass> classes = new ArrayList<>();
        for (PoolConfig pool : services.pools()) {
            for (PoolConfig.ClassConfig config : pool.classes()) {
                classes.add(withPoolName(pool.name(), config.requestClass()));
            }
        }
        return classes;
    }

    private static RequestClass withPoolName(String pool, RequestClass requestClass) {
        return new RequestClass(
                pool + "/" + requestClass.name(),
                requestClass.latencyObjectiveNs(),
                requestClass.objectiveWorkMultiple(),
                requestClass.deadlineNs(),
                requestClass.idempotency(),
                requestClass.deduplicationScope(),
                requestClass.deduplicationWindowNs(),
                requestClass.priorityWeight(),
                requestClass.lateWeightShare());
    }

    /**
     * Opens the addresses for clients and operators, and serves from then on.
     *
     * @throws IOException if an address can't be listened on
     */
    public void start() throws IOException {
        if (admin != null) {
            admin.listen(EndpointPool.address(file.operatorListen()), drain);
        }
        loop.execute(() -> apply(file)); // before the first request can arrive
        InetSocketAddress address = listener.listen(EndpointPool.address(file.listen()));
        loop.execute(
                () -> {
                    listener.setReady(true);
                    LOG.info("{} serves on {}", file.name(), address);
                });
    }

    /**
     * Reads the file again, on a worker thread. It is applied as a whole if it is valid; else all
     * stays as it was.
     */
    public void reload() {
        loop.xnioWorker().execute(this::readAndApply);
    }

    private void readAndApply() {
        OperatorFile.Result result = OperatorFileReader.read(path);
        for (Fault fault : result.faults()) {
            LOG.error("{}", fault);
        }
        if (result.contents() == null) {
            LOG.error("{} was not applied: {} faults", path, result.faults().size());
            loop.execute(() -> metrics.configurationReloaded(false));
            return;
        }
        loop.execute(() -> applyReloaded(result.contents()));
    }

    private void applyReloaded(OperatorFile next) {
        if (!hasSameTotals(file.services(), next.services())) {
            LOG.error(
                    "{} was not applied: descriptors and body_memory change only at a restart",
                    path);
            metrics.configurationReloaded(false);
            return;
        }
        if (!hasSameNameAndAddresses(file, next)) {
            LOG.warn("{}: changes of name and listen take effect at the next start", path);
        }
        apply(next);
        metrics.configurationReloaded(true);
    }

    private static boolean hasSameTotals(ServicesConfig a, ServicesConfig b) {
        return a.requests() == b.requests()
                && a.connections() == b.connections()
                && a.bodyBytes() == b.bodyBytes();
    }

    private static boolean hasSameNameAndAddresses(OperatorFile a, OperatorFile b) {
        return a.listen().equals(b.listen())
                && a.name().equals(b.name())
                && Objects.equals(a.operatorListen(), b.operatorListen());
    }

    /** Replaces pools and routes between two requests. */
    private void apply(OperatorFile next) {
        ServicesConfig services = next.services();
        shutdown.setLongestDeadline(longestDeadlineNs(services));
        PoolSet.Change change = pools.apply(services.pools());
        file = next;
        RouteTable routes = new RouteTable(services.routes());
        listener.setFrontend(new ServiceFrontend(routes, pools.byName(), this::newId));
        LOG.info(
                "{} pools kept, {} started, {} retired; {} routes",
                change.kept(),
                change.started(),
                change.retired(),
                services.routes().size());
    }

    private static long longestDeadlineNs(ServicesConfig services) {
        return services.pools().stream()
                .flatMap(pool -> pool.classes().stream())
                .mapToLong(config -> config.requestClass().deadlineNs())
                .max()
                .orElse(0);
    }

    /** An id for a request; unique among processes, so that endpoints can tell requests apart. */
    private String newId() {
        return idPrefix + Long.toHexString(++lastId);
    }

    /**
     * Shuts the node down gracefully: keeps serving for a while, then finishes the requests in
     * flight. Returns when the process may exit.
     */
    public void stop() throws InterruptedException {
        shutdown.run(file.name());
    }

    @Override
    public boolean isReady() {
        return listener.isReady();
    }

    @Override
    public List<String> levels() {
        return List.of();
    }

    @Override
    public Map<String, Double> readings() {
        Map<String, Double> readings = new LinkedHashMap<>();
        readings.put("loop_ratio", sharedQuotas.loopUtilization());
        pools.byName()
                .forEach((name, pool) -> readings.put("loop_" + name + "_ratio", pool.loopShare()));
        return readings;
    }

    @Override
    public Map<String, Integer> clientConnections() {
        return listener.connectionsByState();
    }

    @Override
    public Map<String, Integer> endpointConnections() {
        return pools.endpointConnections();
    }

    @Override
    public long messageMemoryBytes() {
        return listener.messageMemoryBytes();
    }

    @Override
    public int avoidedEndpoints() {
        return pools.avoidedEndpoints();
    }

    @Override
    public int descriptorLimit() {
        return file.descriptors();
    }
}
