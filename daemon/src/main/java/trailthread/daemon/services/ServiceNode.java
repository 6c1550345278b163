package trailthread.daemon.services;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.RequestClass;
import trailthread.configuration.Fault;
import trailthread.configuration.OperatorFile;
import trailthread.configuration.OperatorFileReader;
import trailthread.daemon.Drain;
import trailthread.daemon.GracefulShutdown;
import trailthread.daemon.admin.AdminServer;
import trailthread.daemon.listener.HttpListener;
import trailthread.daemon.listener.ServiceFrontend;
import trailthread.engine.endpoint.EndpointPool;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeStatus;
import trailthread.engine.pool.Pool;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.ServicesConfig;
import trailthread.engine.pool.Shares;
import trailthread.engine.routes.RouteTable;

/**
 * A node with several services, by an operator's file: its pools, the routes to them, their reload.
 */
public final class ServiceNode implements NodeStatus {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceNode.class);
    private static final int OWN_DESCRIPTORS = 48;
    private static final double CLIENTS_SHARE = 0.6;

    /**
     * Clients are not bound to a part of the descriptors here, so idle connections make room later
     * than on the platform: with 0.75, from two thirds of the places on after 2 s, from seven
     * eighths on after 0.1 s.
     */
    private static final double FULL_SHARE = 0.75;

    private final Path path;

    /** As it was read last and is in force. */
    private volatile OperatorFile file;

    private final EventLoop loop;
    private final AdminServer operator;
    private final MetricsRecorder meter;
    private final Shares shares;
    private final SplittableRandom random;
    private final HttpListener acceptor;
    private final Drain drain;
    private final GracefulShutdown shutdown;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final String idPrefix;
    private long lastId;

    /**
     * Makes a node of a file that was read from this path, and is read from there again at each
     * reload.
     */
    public ServiceNode(Path path, OperatorFile file) throws IOException {
        this.path = path;
        this.file = file;
        loop = new EventLoop(file.name());
        random =
                new SplittableRandom(
                        file.seed() == null ? new SecureRandom().nextLong() : file.seed());
        idPrefix = Long.toHexString(new SecureRandom().nextLong()) + "-";
        operator =
                file.operatorListen() == null
                        ? null
                        : new AdminServer(loop, file.name(), classes(file.services()), this);
        meter = operator == null ? MetricsRecorder.OFF : operator.meter();
        ServicesConfig services = file.services();
        shares = new Shares(loop, services.calls(), services.connections(), services.bodyBytes());
        int forClients =
                (int)
                        (CLIENTS_SHARE
                                * (file.descriptors()
                                        - OWN_DESCRIPTORS
                                        - (operator == null ? 0 : AdminServer.MOST_DESCRIPTORS)));
        acceptor =
                new HttpListener(
                        loop,
                        forClients,
                        (int) (forClients / FULL_SHARE),
                        new ServiceFrontend(new RouteTable(List.of()), Map.of(), this::newId),
                        meter);
        drain = new Drain(loop, acceptor);
        shutdown =
                new GracefulShutdown(
                        loop,
                        acceptor,
                        drain,
                        (newOnes, all) -> {}); // its operator says when to kill
    }

    private static List<RequestClass> classes(ServicesConfig services) {
        List<RequestClass> named = new ArrayList<>();
        for (PoolConfig pool : services.pools()) {
            for (PoolConfig.ClassConfig c : pool.classes()) {
                RequestClass r = c.rules();
                named.add(
                        new RequestClass(
                                pool.name() + "/" + r.name(),
                                r.latencyObjectiveNs(),
                                r.objectiveWorkMultiple(),
                                r.deadlineNs(),
                                r.idempotency(),
                                r.deduplicationScope(),
                                r.deduplicationWindowNs(),
                                r.priorityWeight(),
                                r.lateWeightShare()));
            }
        }
        return named;
    }

    /** Opens the clients' address and serves from then on. */
    public void start() throws IOException {
        if (operator != null) {
            operator.listen(address(file.operatorListen()), drain);
        }
        loop.execute(() -> apply(file)); // before the first call can come
        InetSocketAddress listens = acceptor.listen(address(file.listen()));
        loop.execute(
                () -> {
                    acceptor.setReady(true);
                    LOG.info("{} serves on {}", file.name(), listens);
                });
    }

    private static InetSocketAddress address(String hostPort) {
        return EndpointPool.address(hostPort);
    }

    /** Reads the file again, beside the loop, and puts it in force as a whole, or not at all. */
    public void reload() {
        loop.worker()
                .execute(
                        () -> {
                            OperatorFile.Result result = OperatorFileReader.read(path);
                            for (Fault fault : result.faults()) {
                                LOG.error("{}", fault);
                            }
                            if (result.read() == null) {
                                LOG.error(
                                        "{} is not taken over: {} faults",
                                        path,
                                        result.faults().size());
                                loop.execute(() -> meter.reloaded(false));
                                return;
                            }
                            loop.execute(() -> takeOver(result.read()));
                        });
    }

    private void takeOver(OperatorFile next) {
        ServicesConfig now = file.services();
        ServicesConfig then = next.services();
        boolean same =
                now.calls() == then.calls()
                        && now.connections() == then.connections()
                        && now.bodyBytes() == then.bodyBytes();
        if (!same) {
            LOG.error("{} is not taken over: descriptors and body_memory take a restart", path);
            meter.reloaded(false);
            return;
        }
        if (!next.listen().equals(file.listen())
                || !next.name().equals(file.name())
                || !String.valueOf(next.operatorListen())
                        .equals(String.valueOf(file.operatorListen()))) {
            LOG.warn("{}: name and listen wait for the next start", path);
        }
        apply(next);
        meter.reloaded(true);
    }

    /**
     * Between two calls: pools that did not change stay as they are, the rest begins or ends,
     * routes go over.
     */
    private void apply(OperatorFile next) {
        Map<String, Pool> old = new LinkedHashMap<>(pools);
        pools.clear();
        List<Pool> begun = new ArrayList<>();
        int kept = 0;
        shutdown.waitsFor(longestNs(next.services()));
        for (PoolConfig config : next.services().pools()) {
            Pool before = old.get(config.name());
            if (before != null && before.config().equals(config)) {
                pools.put(config.name(), before);
                old.remove(config.name());
                kept++;
            }
        }
        old.values().forEach(Pool::retire); // frees what they were guaranteed
        for (PoolConfig config : next.services().pools()) {
            if (!pools.containsKey(config.name())) {
                Pool pool = new Pool(loop, config, random.nextLong(), shares, meter);
                Pool before = old.get(config.name());
                boolean knows = before != null && before.config().source().equals(config.source());
                pools.put(config.name(), pool);
                pool.start(knows ? before.known() : null);
                begun.add(pool);
            }
        }
        file = next;
        acceptor.setFront(front());
        LOG.info(
                "{} pools kept, {} begun, {} ending; {} routes",
                kept,
                begun.size(),
                old.size(),
                next.services().routes().size());
    }

    private static long longestNs(ServicesConfig services) {
        return services.pools().stream()
                .flatMap(pool -> pool.classes().stream())
                .mapToLong(c -> c.rules().deadlineNs())
                .max()
                .orElse(0);
    }

    private ServiceFrontend front() {
        return new ServiceFrontend(new RouteTable(file.services().routes()), pools, this::newId);
    }

    private String newId() {
        return idPrefix + Long.toHexString(++lastId);
    }

    /**
     * Serves on for a while, then finishes every call taken; returns when all have had their time.
     */
    public void stop() throws InterruptedException {
        shutdown.await(file.name());
    }

    // ---- what it says of itself
    // --------------------------------------------------------------------

    @Override
    public boolean isReady() {
        return acceptor.isReady();
    }

    @Override
    public List<String> levels() {
        return List.of();
    }

    @Override
    public Map<String, Double> readings() {
        Map<String, Double> readings = new LinkedHashMap<>();
        readings.put("loop_ratio", shares.busy());
        pools.forEach((name, pool) -> readings.put("loop_" + name + "_ratio", pool.loopShare()));
        return readings;
    }

    @Override
    public Map<String, Integer> clientConnections() {
        return acceptor.connections();
    }

    @Override
    public Map<String, Integer> endpointConnections() {
        Map<String, Integer> sums = new LinkedHashMap<>();
        sums.put("idle", 0);
        sums.put("busy", 0);
        pools.values()
                .forEach(
                        pool ->
                                pool.connections()
                                        .forEach((state, n) -> sums.merge(state, n, Integer::sum)));
        return sums;
    }

    @Override
    public int avoidedEndpoints() {
        return pools.values().stream().mapToInt(Pool::avoidedEndpoints).sum();
    }

    @Override
    public int descriptorLimit() {
        return file.descriptors();
    }
}
