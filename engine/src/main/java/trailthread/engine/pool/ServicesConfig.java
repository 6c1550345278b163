package trailthread.engine.pool;

import java.util.List;
import trailthread.engine.routes.Route;

/**
 * The configuration of all pools of a process.
 *
 * @param requests the number of requests that all pools together may have open
 * @param connections the number of connections to endpoints
 * @param bodyBytes the number of bytes of buffered request bodies
 * @param pools the pools, whose guarantees add up to no more than these totals
 * @param routes the routes, each to one of the pools; no two of them conflict
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
