package trailthread.engine.pool;

import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.quota.Quota;

/** Limits a pool's connections to its endpoints by the quota that pools share. */
final class PoolConnectionLimit implements ConnectionLimit {
    private final EventLoop loop;
    private final Shares shares;
    private final Quota.Member connections;

    PoolConnectionLimit(EventLoop loop, Shares shares, Quota.Member connections) {
        this.loop = loop;
        this.shares = shares;
        this.connections = connections;
    }

    @Override
    public boolean tryAcquire() {
        if (connections.acquire(1, loop.now())) {
            return true;
        }
        shares.reclaimIdleConnections();
        return connections.acquire(1, loop.now());
    }

    @Override
    public void release() {
        connections.release(1);
    }

    @Override
    public boolean mayKeepIdle() {
        return connections.excess(loop.now()) == 0;
    }
}
