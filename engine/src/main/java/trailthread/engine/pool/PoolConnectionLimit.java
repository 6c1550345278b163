package trailthread.engine.pool;

import trailthread.engine.endpoint.ConnectionLimit;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.quota.Quota;

/** Limits a pool's connections to its endpoints by the connection quota that pools share. */
final class PoolConnectionLimit implements ConnectionLimit {
    private final EventLoop loop;
    private final SharedQuotas sharedQuotas;
    private final Quota.Member connections;

    PoolConnectionLimit(EventLoop loop, SharedQuotas sharedQuotas, Quota.Member connections) {
        this.loop = loop;
        this.sharedQuotas = sharedQuotas;
        this.connections = connections;
    }

    @Override
    public boolean tryAcquire() {
        if (connections.acquire(1, loop.now())) {
            return true;
        }
        sharedQuotas.reclaimIdleConnections();
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
