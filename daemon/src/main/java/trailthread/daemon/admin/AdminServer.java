package trailthread.daemon.admin;

import io.undertow.UndertowOptions;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import trailthread.api.RequestClass;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeControl;
import trailthread.engine.metrics.NodeStatus;
import trailthread.engine.socket.TcpListener;

/**
 * The operators' HTTP server: {@code /metrics} for Prometheus, {@code /status} in JSON, {@code
 * /ready}, and under {@code /-/} the paths that the operators have prescribed, with which they
 * drain the node. It runs on the loop's thread, which also serves the clients' requests, and limits
 * how much of the thread's time the operators' clients can use. A node without an address for
 * operators creates no admin server, and then loads no class of this package.
 */
public final class AdminServer {
    private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int MAX_HEADERS = 64;
    private static final int BACKLOG = 64;

    /**
     * The maximum of file descriptors that the server holds: one for its address, one for each
     * connection, and one for a connection that is being rejected.
     */
    public static final int MAX_DESCRIPTORS = 2 + AdminLimits.DEFAULT_MAX_CONNECTIONS;

    /** The period of the timer whose lateness is measured. */
    private static final long LATENESS_INTERVAL_NS = 100_000_000L;

    private final EventLoop loop;
    private final AdminLimits limits;
    private final NodeStatus status;
    private final NodeMetrics metrics;
    private final MetricsCache cache;
    private final AdminConnections connections;
    private TcpListener tcpListener;
    private boolean acceptsSuspended;
    private boolean closed;

    /**
     * Makes a server that records metrics; {@link #listen} opens its address.
     *
     * @param nodeName the node's name in its metrics
     * @param classes request classes whose metrics are exported before their first request
     */
    public AdminServer(
            EventLoop loop, String nodeName, List<RequestClass> classes, NodeStatus status) {
        this(loop, nodeName, classes, status, AdminLimits.DEFAULT);
    }

    AdminServer(
            EventLoop loop,
            String nodeName,
            List<RequestClass> classes,
            NodeStatus status,
            AdminLimits limits) {
        this.loop = loop;
        this.limits = limits;
        this.status = status;
        metrics = new NodeMetrics(classes.stream().map(RequestClass::name).toList());
        cache =
                new MetricsCache(
                        loop,
                        nodeName,
                        version(),
                        limits.cacheNs(),
                        () -> metrics.snapshot(status));
        connections = new AdminConnections(limits);
    }

    private static String version() {
        String version = AdminServer.class.getPackage().getImplementationVersion();
        return version == null ? "unknown" : version;
    }

    /** Adds request classes, whose metrics are exported as 0 before their first request. */
    public void addClasses(List<RequestClass> classes) {
        classes.forEach(requestClass -> metrics.addClass(requestClass.name()));
    }

    /** Returns the recorder of the node's events, from which the metrics are exported. */
    public MetricsRecorder metricsRecorder() {
        return metrics;
    }

    /**
     * Listens on the operators' address, and returns the address that was bound.
     *
     * @param control executes the operators' commands
     * @throws BindException if the address can't be bound; the message names the configuration's
     *     key
     */
    public InetSocketAddress listen(InetSocketAddress address, NodeControl control)
            throws IOException {
        HttpOpenListener http = httpListener(control);
        int maxOpen = limits.maxConnections() + 1; // one more, to be rejected
        tcpListener =
                new TcpListener(
                        loop, maxOpen, (connection, waitingSince) -> opened(connection, http));
        InetSocketAddress bound = bind(address);
        loop.execute(this::measureLateness);
        LOG.info("admin server listens on {}", bound);
        return bound;
    }

    private HttpOpenListener httpListener(NodeControl control) {
        HttpOpenListener http =
                new HttpOpenListener(
                        loop.buffers(),
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headTimeoutMs())
                                .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMs())
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .set(UndertowOptions.DECODE_URL, false)
                                .getMap());
        http.setRootHandler(
                new AdminHandler(loop, limits, connections, status, control, metrics, cache));
        return http;
    }

    private InetSocketAddress bind(InetSocketAddress address) throws BindException {
        try {
            return tcpListener.listen(address, BACKLOG);
        } catch (IOException e) {
            throw new BindException("management: " + address + ": " + e.getMessage());
        }
    }

    /** Closes the server and all its connections. */
    public void close() {
        loop.execute(
                () -> {
                    closed = true;
                    tcpListener.close();
                    connections.closeAll();
                });
    }

    private void measureLateness() {
        long dueAt = loop.now() + LATENESS_INTERVAL_NS;
        loop.schedule(
                LATENESS_INTERVAL_NS,
                () -> {
                    metrics.recordTimerLateness(loop.now() - dueAt);
                    if (!closed) {
                        measureLateness();
                    }
                });
    }

    private void opened(StreamConnection connection, HttpOpenListener http) {
        suspendAccepts();
        connection.setCloseListener(connections::closed);
        if (connections.opened(connection, loop.now())) {
            http.handleEvent(connection);
        }
    }

    /**
     * Stops accepting for a while. Otherwise, a client that opens connections without a pause could
     * use up the loop's time.
     */
    private void suspendAccepts() {
        if (acceptsSuspended) {
            return;
        }
        acceptsSuspended = true;
        tcpListener.suspend();
        loop.schedule(limits.minAcceptIntervalNs(), this::resumeAccepts);
    }

    private void resumeAccepts() {
        acceptsSuspended = false;
        if (!closed) {
            tcpListener.resume();
        }
    }
}
