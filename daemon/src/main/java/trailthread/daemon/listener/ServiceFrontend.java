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
import trailthread.engine.pool.PoolConfig.ClassConfig;
import trailthread.engine.pool.PoolConfig.Profile;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.routes.BadTargetException;
import trailthread.engine.routes.Route;
import trailthread.engine.routes.RouteQuery;
import trailthread.engine.routes.RouteTable;
import trailthread.engine.routes.Target;

/**
 * Frontend for several services behind one address: a request's route names the pool that serves
 * it. Immutable.
 */
public final class ServiceFrontend implements RequestFrontend {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceFrontend.class);

    private final RouteTable routes;
    private final Map<String, Service> services = new HashMap<>();

    /**
     * Makes a frontend.
     *
     * @param pools all pools that the routes name, by name
     * @param newIds generates ids for requests without one
     */
    public ServiceFrontend(RouteTable routes, Map<String, Pool> pools, Supplier<String> newIds) {
        this.routes = routes;
        pools.forEach((name, pool) -> services.put(name, new Service(pool, newIds)));
    }

    /** Reserved for the balancer: a route to this path never matches. */
    @Override
    public String readyPath() {
        return "/-/ready";
    }

    @Override
    public DecodedHead decode(HttpServerExchange exchange) {
        try {
            Target target = target(exchange);
            Route route = routes.match(routeQuery(exchange, target));
            if (route == null) {
                return DecodedHead.rejected(RejectionReason.NO_ROUTE);
            }
            Service service = services.get(route.pool());
            ClientRequest request = service.decode(exchange, target, route);
            return new DecodedHead(request, service, service.isPlain(), null);
        } catch (BadTargetException | BadRequestException e) {
            LOG.debug("bad request: {}", e.getMessage());
            return DecodedHead.rejected(RejectionReason.BAD_REQUEST);
        }
    }

    private static Target target(HttpServerExchange exchange) throws BadTargetException {
        HeaderMap headers = exchange.getRequestHeaders();
        String uri = exchange.getRequestURI();
        String query = exchange.getQueryString();
        return Target.parse(
                exchange.getRequestMethod().toString(),
                query.isEmpty() ? uri : uri + "?" + query,
                headers.contains(Headers.HOST) ? headers.get(Headers.HOST) : List.of(),
                exchange.getProtocol().equals(Protocols.HTTP_1_1));
    }

    private static RouteQuery routeQuery(HttpServerExchange exchange, Target target) {
        HeaderMap headers = exchange.getRequestHeaders();
        return new RouteQuery(
                target.host(),
                target.segments(),
                exchange.getRequestMethod().toString(),
                name -> headers.count(name) == 1 ? headers.getFirst(name) : null,
                headers.getFirst(PlatformRequestDecoder.SERVICE_CLASS));
    }

    /** A pool and the decoder for its clients' requests. */
    private static final class Service implements Handler {
        private final Pool pool;

        /** Null if the pool has the platform's profile. */
        private final PlainRequestDecoder plainDecoder;

        /** Null if the pool has the plain profile. */
        private final PlatformRequestDecoder platformDecoder;

        Service(Pool pool, Supplier<String> newIds) {
            this.pool = pool;
            if (pool.config().profile() == Profile.PLAIN) {
                plainDecoder = new PlainRequestDecoder(pool.config(), newIds);
                platformDecoder = null;
            } else {
                plainDecoder = null;
                platformDecoder =
                        new PlatformRequestDecoder(
                                pool.config().classes().stream()
                                        .map(ClassConfig::requestClass)
                                        .toList());
            }
        }

        boolean isPlain() {
            return plainDecoder != null;
        }

        ClientRequest decode(HttpServerExchange exchange, Target target, Route route)
                throws BadRequestException {
            String method = exchange.getRequestMethod().toString();
            HeaderMap headers = exchange.getRequestHeaders();
            if (plainDecoder != null) {
                return plainDecoder.decode(method, target, headers, route.assignedClass());
            }
            String query = exchange.getQueryString();
            return platformDecoder.decode(method, path(target), query, headers);
        }

        private static String path(Target target) {
            int query = target.origin().indexOf('?');
            return query < 0 ? target.origin() : target.origin().substring(0, query);
        }

        @Override
        public boolean isInFlight(String id) {
            return pool.isOpen(id);
        }

        @Override
        public Object owner() {
            return pool;
        }

        @Override
        public boolean reserveBody(long bytes) {
            return pool.reserveBody(bytes);
        }

        @Override
        public void releaseBody(long bytes) {
            pool.releaseBody(bytes);
        }

        @Override
        public Runnable handle(
                ClientRequest request, long deadline, ClientResponse response, long reservedBytes) {
            return pool.handle(request, deadline, response, reservedBytes);
        }
    }
}
