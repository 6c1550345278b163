package trailthread.daemon.services;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.pool.Pool;
import trailthread.engine.pool.PoolConfig;
import trailthread.engine.pool.SharedQuotas;

/** The pools in use, by name. Runs on the loop's thread. */
final class PoolSet {
    /**
     * What a change of the configuration did.
     *
     * @param kept how many pools stay as they are
     * @param started how many pools are new or changed
     * @param retired how many old pools stop once their requests in flight have ended
     */
    record Change(int kept, int started, int retired) {}

    private final EventLoop loop;
    private final SharedQuotas sharedQuotas;
    private final SplittableRandom random;
    private final MetricsRecorder metrics;
    private final Map<String, Pool> pools = new LinkedHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param random seeds each new pool
     */
    PoolSet(
            EventLoop loop,
            SharedQuotas sharedQuotas,
            SplittableRandom random,
            MetricsRecorder metrics) {
        this.loop = loop;
        this.sharedQuotas = sharedQuotas;
        this.random = random;
        this.metrics = metrics;
    }

    /** Keeps the pools whose configuration is unchanged, and replaces all others. */
    Change apply(List<PoolConfig> configs) {
        Map<String, Pool> retired = new LinkedHashMap<>(pools);
        pools.clear();
        for (PoolConfig config : configs) {
            Pool pool = retired.get(config.name());
            if (pool != null && pool.config().equals(config)) {
                pools.put(config.name(), pool);
                retired.remove(config.name());
            }
        }
        int kept = pools.size();
        // Before the new pools start, as this frees the shares that were guaranteed to the old
        // pools.
        retired.values().forEach(Pool::retire);
        for (PoolConfig config : configs) {
            if (!pools.containsKey(config.name())) {
                pools.put(config.name(), start(config, retired.get(config.name())));
            }
        }
        return new Change(kept, configs.size() - kept, retired.size());
    }

    /** Starts a pool, with the endpoint list of the one it replaces if that has the same source. */
    private Pool start(PoolConfig config, Pool replaced) {
        Pool pool = new Pool(loop, config, random.nextLong(), sharedQuotas, metrics);
        boolean sameSource = replaced != null && replaced.config().source().equals(config.source());
        pool.start(sameSource ? replaced.endpointList() : null);
        return pool;
    }

    /** A live view of the pools by name. */
    Map<String, Pool> byName() {
        return pools;
    }

    /** How many connections to endpoints there are in each state, over all pools. */
    Map<String, Integer> endpointConnections() {
        Map<String, Integer> sums = new LinkedHashMap<>();
        sums.put("idle", 0);
        sums.put("busy", 0);
        for (Pool pool : pools.values()) {
            pool.connections().forEach((state, count) -> sums.merge(state, count, Integer::sum));
        }
        return sums;
    }

    /** How many of the listed endpoints are avoided, over all pools. */
    int avoidedEndpoints() {
        return pools.values().stream().mapToInt(Pool::avoidedEndpoints).sum();
    }
}
