package trailthread.daemon.admin;

import io.undertow.UndertowOptions;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.UnresolvedAddressException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import trailthread.api.RequestClass;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeControl;
import trailthread.engine.metrics.NodeStatus;

/**
 * The operators' door to the node, over HTTP: under {@code /-/} what they do to it and the figures
 * that they ask for by names of their own; {@code /metrics} for Prometheus, {@code /status} in
 * JSON, {@code /ready}. It runs on the node's loop beside the calls, and takes little of it
 * whatever its clients do. A node whose operators want nothing makes none, and then loads no class
 * of this package.
 */
public final class AdminServer {
    private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);
    private static final int MOST_HEADER_BYTES = 8 * 1024;
    private static final int MOST_HEADERS = 64;

    /**
     * Descriptors that it holds at the most: its address, its connections, and one that is turned
     * away.
     */
    public static final int MOST_DESCRIPTORS = 2 + AdminLimits.MOST_CONNECTIONS;

    private static final int MOST_BODY_BYTES = 4 * 1024;
    private static final int BACKLOG = 64;
    private static final String OWN_PATHS = "/-/";
    private static final long LATENESS_EVERY_NS = 100_000_000L;

    private final EventLoop loop;
    private final AdminLimits limits;
    private final NodeStatus view;
    private NodeControl control;
    private final NodeMetrics metrics;
    private final MetricsCache bodies;
    private final AdminConnections connections;
    private AcceptingChannel<StreamConnection> server;
    private boolean resting;
    private boolean closed;

    /** Makes one that counts, and listens nowhere as yet. */
    public AdminServer(EventLoop loop, String name, List<RequestClass> classes, NodeStatus view) {
        this(loop, name, classes, view, AdminLimits.USUAL);
    }

    AdminServer(
            EventLoop loop,
            String name,
            List<RequestClass> classes,
            NodeStatus view,
            AdminLimits limits) {
        this.loop = loop;
        this.limits = limits;
        this.view = view;
        metrics = new NodeMetrics(classes.stream().map(RequestClass::name).toList());
        String version = AdminServer.class.getPackage().getImplementationVersion();
        bodies =
                new MetricsCache(
                        loop,
                        name,
                        version == null ? "unknown" : version,
                        limits.freshNs(),
                        () -> metrics.snapshot(view));
        connections = new AdminConnections(limits);
    }

    /** The node serves these classes, too: they are told of before their first call. */
    public void serves(List<RequestClass> classes) {
        classes.forEach(c -> metrics.serves(c.name()));
    }

    /** What the node tells of its events. */
    public MetricsRecorder meter() {
        return metrics;
    }

    /**
     * Opens the operators' address, and says which.
     *
     * @param steers what operators may do to the node
     * @throws BindException if the address can't be had; the message names the key
     */
    public InetSocketAddress listen(InetSocketAddress address, NodeControl steers)
            throws IOException {
        control = steers;
        HttpOpenListener http =
                new HttpOpenListener(
                        loop.buffers(),
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, MOST_HEADER_BYTES)
                                .set(UndertowOptions.MAX_HEADERS, MOST_HEADERS)
                                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headMs())
                                .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleMs())
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .set(UndertowOptions.DECODE_URL, false)
                                .getMap());
        http.setRootHandler(this::handle);
        ChannelListener<AcceptingChannel<StreamConnection>> accept =
                ChannelListeners.openListenerAdapter(connection -> opened(connection, http));
        try {
            server =
                    loop.worker()
                            .createStreamConnectionServer(
                                    address,
                                    accept,
                                    OptionMap.builder()
                                            .set(Options.TCP_NODELAY, true)
                                            .set(Options.REUSE_ADDRESSES, true)
                                            .set(Options.BACKLOG, BACKLOG)
                                            .set(
                                                    Options.CONNECTION_HIGH_WATER,
                                                    limits.connections() + 1)
                                            .set(
                                                    Options.CONNECTION_LOW_WATER,
                                                    limits.connections() + 1)
                                            .getMap());
        } catch (IOException | UnresolvedAddressException e) {
            throw new BindException("management: " + address + ": " + e.getMessage());
        }
        server.resumeAccepts();
        loop.execute(this::watchLateness);
        InetSocketAddress bound = server.getLocalAddress(InetSocketAddress.class);
        LOG.info("operators are told on {}", bound);
        return bound;
    }

    /** Ends it, with all its connections. */
    public void close() {
        loop.execute(
                () -> {
                    closed = true;
                    IoUtils.safeClose(server);
                    connections.closeAll();
                });
    }

    private void watchLateness() {
        long dueAt = loop.now() + LATENESS_EVERY_NS;
        loop.after(
                LATENESS_EVERY_NS,
                () -> {
                    metrics.late(loop.now() - dueAt);
                    if (!closed) {
                        watchLateness();
                    }
                });
    }

    private void opened(StreamConnection connection, HttpOpenListener http) {
        rest();
        connection.setCloseListener(connections::closed);
        if (connections.opened(connection, loop.now())) {
            http.handleEvent(connection);
        }
    }

    /** Guards against a client that opens connections as fast as it can. */
    private void rest() {
        if (!resting) {
            resting = true;
            server.suspendAccepts();
            loop.after(
                    limits.acceptEveryNs(),
                    () -> {
                        resting = false;
                        if (!closed) {
                            server.resumeAccepts();
                        }
                    });
        }
    }

    private void handle(HttpServerExchange exchange) {
        StreamConnection connection =
                ((AbstractServerConnection) exchange.getConnection()).getChannel();
        long now = loop.now();
        long answerAt = connections.began(connection, now);
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    connections.ended(connection, loop.now());
                    next.proceed();
                });
        if (exchange.getRequestPath().startsWith(OWN_PATHS)) {
            exchange.setPersistent(false); // one call to a connection
            exchange.getRequestReceiver().setMaxBufferSize(MOST_BODY_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (whole, body) -> own(whole),
                            (spoilt, e) -> end(spoilt, StatusCodes.BAD_REQUEST));
            return;
        }
        if (!exchange
                .isRequestComplete()) { // no request here has a body: what follows can't be trusted
            Connectors.terminateRequest(exchange);
            exchange.setPersistent(false);
            exchange.setStatusCode(StatusCodes.REQUEST_ENTITY_TOO_LARGE);
            exchange.endExchange();
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> loop.after(answerAt - now, () -> answer(exchange)));
    }

    /**
     * What the operators ask for under names of their own: here whole, so that half a call does
     * nothing.
     */
    private void own(HttpServerExchange exchange) {
        String what =
                exchange.getRequestMethod()
                        + " "
                        + exchange.getRequestPath().substring(OWN_PATHS.length());
        switch (what) {
            case "GET ready" -> end(exchange, yesOrNo(view.isReady()));
            case "POST drain" -> end(exchange, yesOrNo(control.drain()));
            case "POST resume" -> end(exchange, yesOrNo(control.resume()));
            case "GET metrics" -> {
                exchange.getResponseHeaders()
                        .put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
                exchange.getResponseSender().send(metrics.figures(view));
            }
            case "GET status" ->
                    bodies.ask(
                            MetricsCache.Form.JSON,
                            body -> tell(exchange, MetricsCache.Form.JSON, body));
            default -> end(exchange, StatusCodes.NOT_FOUND);
        }
    }

    private static int yesOrNo(boolean yes) {
        return yes ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
    }

    private void answer(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        boolean known = path.equals("/metrics") || path.equals("/status") || path.equals("/ready");
        if (!known) {
            end(exchange, StatusCodes.NOT_FOUND);
        } else if (!exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, Methods.GET_STRING);
            end(exchange, StatusCodes.METHOD_NOT_ALLOWED);
        } else if (path.equals("/ready")) {
            end(exchange, view.isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        } else {
            MetricsCache.Form form =
                    path.equals("/status")
                            ? MetricsCache.Form.JSON
                            : MetricsCache.Form.accepted(
                                    exchange.getRequestHeaders().getFirst(Headers.ACCEPT));
            bodies.ask(form, body -> tell(exchange, form, body));
        }
    }

    private static void end(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    private void tell(HttpServerExchange exchange, MetricsCache.Form form, byte[] body) {
        if (body == null) {
            end(exchange, StatusCodes.INTERNAL_SERVER_ERROR);
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, form.contentType());
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
        if (!exchange.isResponseComplete()) {
            loop.after(
                    limits.readWithinNs(),
                    () -> {
                        if (!exchange.isResponseComplete()) {
                            IoUtils.safeClose(exchange.getConnection());
                        }
                    });
        }
    }
}
