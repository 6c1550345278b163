package trailthread.daemon.listener;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.pool.Pool;
import trailthread.engine.pool.PoolConfig.Profile;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.routes.BadTargetException;
import trailthread.engine.routes.Route;
import trailthread.engine.routes.RouteQuery;
import trailthread.engine.routes.RouteTable;
import trailthread.engine.routes.Target;

/**
 * Several services behind one address: a request's route says which pool takes it. Never changed
 * once it is made.
 */
public final class ServiceFrontend implements RequestFrontend {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceFrontend.class);

    /** One pool, and how its clients are read. */
    private static final class Service implements Taker {
        private final Pool pool;
        private final PlainRequestDecoder plain;
        private final PlatformRequestDecoder platform;

        Service(Pool pool, Supplier<String> ids) {
            this.pool = pool;
            boolean isPlain = pool.config().profile() == Profile.PLAIN;
            plain = isPlain ? new PlainRequestDecoder(pool.config(), ids) : null;
            platform =
                    isPlain
                            ? null
                            : new PlatformRequestDecoder(
                                    pool.config().classes().stream().map(c -> c.rules()).toList());
        }

        @Override
        public boolean isOpen(String id) {
            return pool.isOpen(id);
        }

        @Override
        public Object owner() {
            return pool;
        }

        @Override
        public boolean takeBody(long bytes) {
            return pool.takeBody(bytes);
        }

        @Override
        public void giveBody(long bytes) {
            pool.giveBody(bytes);
        }

        @Override
        public Runnable take(ClientRequest call, long deadline, ClientResponse reply, long kept) {
            return pool.take(call, deadline, reply, kept);
        }
    }

    private final RouteTable routes;
    private final Map<String, Service> services = new HashMap<>();

    /**
     * Makes one.
     *
     * @param pools all that the routes name
     * @param ids makes ids for calls that bring none
     */
    public ServiceFrontend(RouteTable routes, Map<String, Pool> pools, Supplier<String> ids) {
        this.routes = routes;
        pools.forEach((name, pool) -> services.put(name, new Service(pool, ids)));
    }

    /** A path that no service can have: a route to it never matches. */
    @Override
    public String readyPath() {
        return "/-/ready";
    }

    @Override
    public Incoming read(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        String method = exchange.getRequestMethod().toString();
        String query = exchange.getQueryString();
        try {
            Target target =
                    Target.parse(
                            method,
                            query.isEmpty()
                                    ? exchange.getRequestURI()
                                    : exchange.getRequestURI() + "?" + query,
                            headers.contains(Headers.HOST) ? headers.get(Headers.HOST) : List.of(),
                            exchange.getProtocol().equals(Protocols.HTTP_1_1));
            Route route =
                    routes.match(
                            new RouteQuery(
                                    target.host(),
                                    target.segments(),
                                    method,
                                    name ->
                                            headers.count(name) == 1
                                                    ? headers.getFirst(name)
                                                    : null,
                                    headers.getFirst(PlatformRequestDecoder.SERVICE_CLASS)));
            if (route == null) {
                return Incoming.none(RejectionReason.NO_ROUTE);
            }
            Service service = services.get(route.pool());
            ClientRequest call =
                    service.plain != null
                            ? service.plain.decode(method, target, headers, route.assigns())
                            : service.platform.decode(method, path(target), query, headers);
            return new Incoming(call, service, service.plain != null, null);
        } catch (BadTargetException | BadRequestException e) {
            LOG.debug("no call: {}", e.getMessage());
            return Incoming.none(RejectionReason.BAD_REQUEST);
        }
    }

    private static String path(Target target) {
        int query = target.origin().indexOf('?');
        return query < 0 ? target.origin() : target.origin().substring(0, query);
    }
}
