package trailthread.engine.pool;

import java.util.List;
import trailthread.engine.routes.Route;

/**
 * The services of a process.
 *
 * @param requests that all pools together may have open
 * @param connections to endpoints
 * @param bodyBytes of request bodies that are buffered
 * @param pools their guarantees add up to no more than these
 * @param routes each to one of the pools; no two of them conflict
 */
public record ServicesConfig(
        long requests,
        long connections,
        long bodyBytes,
        List<PoolConfig> pools,
        List<Route> routes) {
    public ServicesConfig {
        pools = List.copyOf(pools);
        routes = List.copyOf(routes);
    }
}
