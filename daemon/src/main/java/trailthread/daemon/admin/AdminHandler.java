package trailthread.daemon.admin;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.Set;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import trailthread.daemon.admin.MetricsCache.Format;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.NodeControl;
import trailthread.engine.metrics.NodeStatus;

/** Serves the admin server's requests. */
final class AdminHandler implements HttpHandler {
    /** Prefix of the paths that the operators have prescribed. */
    private static final String PRESCRIBED_PREFIX = "/-/";

    private static final String METRICS_PATH = "/metrics";
    private static final String STATUS_PATH = "/status";
    private static final String READY_PATH = "/ready";
    private static final Set<String> PATHS = Set.of(METRICS_PATH, STATUS_PATH, READY_PATH);

    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";
    private static final int MAX_BODY_BYTES = 4 * 1024;

    private final EventLoop loop;
    private final AdminLimits limits;
    private final AdminConnections connections;
    private final NodeStatus status;
    private final NodeControl control;
    private final NodeMetrics metrics;
    private final MetricsCache cache;

    AdminHandler(
            EventLoop loop,
            AdminLimits limits,
            AdminConnections connections,
            NodeStatus status,
            NodeControl control,
            NodeMetrics metrics,
            MetricsCache cache) {
        this.loop = loop;
        this.limits = limits;
        this.connections = connections;
        this.status = status;
        this.control = control;
        this.metrics = metrics;
        this.cache = cache;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long now = loop.now();
        long responseAt = track(exchange, now);
        if (exchange.getRequestPath().startsWith(PRESCRIBED_PREFIX)) {
            receivePrescribed(exchange);
            return;
        }
        if (!exchange.isRequestComplete()) {
            rejectBody(exchange);
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> loop.schedule(responseAt - now, () -> respond(exchange)));
    }

    /** Tracks the connection's state; returns when the response may be sent. */
    private long track(HttpServerExchange exchange, long now) {
        StreamConnection connection =
                ((AbstractServerConnection) exchange.getConnection()).getChannel();
        long responseAt = connections.headArrived(connection, now);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    connections.responseWritten(connection, loop.now());
                    next.proceed();
                });
        return responseAt;
    }

    /**
     * Rejects a request with a body. No path here takes one, so the connection is closed rather
     * than read on.
     */
    private static void rejectBody(HttpServerExchange exchange) {
        Connectors.terminateRequest(exchange);
        exchange.setPersistent(false);
        end(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE);
    }

    /**
     * Serves a prescribed path once the request is complete, so that an incomplete request has no
     * effect. The connection ends with the response.
     */
    private void receivePrescribed(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> respondToPrescribed(received),
                        (failed, e) -> end(failed, StatusCodes.BAD_REQUEST));
    }

    private void respondToPrescribed(HttpServerExchange exchange) {
        String name = exchange.getRequestPath().substring(PRESCRIBED_PREFIX.length());
        switch (exchange.getRequestMethod() + " " + name) {
            case "GET ready" -> end(exchange, okOrUnavailable(status.isReady()));
            case "POST drain" -> end(exchange, okOrUnavailable(control.drain()));
            case "POST resume" -> end(exchange, okOrUnavailable(control.resume()));
            case "GET metrics" -> {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PROMETHEUS_TEXT);
                exchange.getResponseSender().send(metrics.appMetrics(status).render());
            }
            case "GET status" -> sendCached(exchange, Format.JSON);
            default -> end(exchange, StatusCodes.NOT_FOUND);
        }
    }

    private void respond(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (!PATHS.contains(path)) {
            end(exchange, StatusCodes.NOT_FOUND);
            return;
        }
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, Methods.GET_STRING);
            end(exchange, StatusCodes.METHOD_NOT_ALLOWED);
            return;
        }
        switch (path) {
            case READY_PATH -> end(exchange, okOrUnavailable(status.isReady()));
            case STATUS_PATH -> sendCached(exchange, Format.JSON);
            default -> {
                String accept = exchange.getRequestHeaders().getFirst(Headers.ACCEPT);
                sendCached(exchange, Format.accepted(accept));
            }
        }
    }

    private static int okOrUnavailable(boolean ok) {
        return ok ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
    }

    private static void end(HttpServerExchange exchange, int statusCode) {
        exchange.setStatusCode(statusCode);
        exchange.endExchange();
    }

    private void sendCached(HttpServerExchange exchange, Format format) {
        cache.get(format, body -> send(exchange, format, body));
    }

    private void send(HttpServerExchange exchange, Format format, byte[] body) {
        if (body == null) {
            end(exchange, StatusCodes.INTERNAL_SERVER_ERROR);
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, format.contentType());
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
        if (!exchange.isResponseComplete()) {
            loop.schedule(limits.responseReadTimeoutNs(), () -> closeIfUnread(exchange));
        }
    }

    private static void closeIfUnread(HttpServerExchange exchange) {
        if (!exchange.isResponseComplete()) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
