package trailthread.engine.pool;

import java.util.ArrayList;
import java.util.List;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.quota.Quota;
import trailthread.engine.quota.TimeQuota;

/** The quotas that the pools of a process share. */
public final class SharedQuotas {
    /**
     * How long a pool counts as wanting to borrow after it tried to: the time of several requests.
     */
    private static final long DEMAND_NS = 1_000_000_000L;

    /**
     * Time constant by which the use of loop time decays: long compared with a task, short compared
     * with a deadline.
     */
    private static final long LOOP_TIME_DECAY_NS = 200_000_000L;

    private final EventLoop loop;
    final Quota requests;
    final Quota connections;
    final Quota bodyBytes;
    final TimeQuota loopTime;
    private final List<Pool> pools = new ArrayList<>();

    /**
     * Creates the quotas, without members.
     *
     * @param requests the number of open requests, over all pools
     * @param connections the number of connections to endpoints
     * @param bodyBytes the number of bytes of buffered request bodies
     */
    public SharedQuotas(EventLoop loop, long requests, long connections, long bodyBytes) {
        this.loop = loop;
        this.requests = new Quota(requests, DEMAND_NS);
        this.connections = new Quota(connections, DEMAND_NS);
        this.bodyBytes = new Quota(bodyBytes, DEMAND_NS);
        loopTime = new TimeQuota(LOOP_TIME_DECAY_NS, loop.now());
    }

    /**
     * Returns the fraction of its recent time that the loop's thread worked for the pools, 0 to
     * about 1.
     */
    public double loopUtilization() {
        return loopTime.utilization(loop.now());
    }

    void add(Pool pool) {
        pools.add(pool);
    }

    void remove(Pool pool) {
        pools.remove(pool);
    }

    /**
     * Closes idle connections of the pools that hold more than their part, as another pool wants
     * one.
     */
    void reclaimIdleConnections() {
        for (int i = 0; i < pools.size(); i++) {
            pools.get(i).closeExcessIdleConnections();
        }
    }
}
