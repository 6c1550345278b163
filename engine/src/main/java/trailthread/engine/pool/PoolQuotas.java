package trailthread.engine.pool;

import trailthread.engine.quota.Quota;
import trailthread.engine.quota.TimeQuota;

/** One pool's memberships in the quotas that the pools of a process share. */
final class PoolQuotas {
    private final PoolConfig.Limits limits;
    final Quota.Member requests;
    final Quota.Member connections;
    final Quota.Member bodyBytes;
    final TimeQuota.Member loopTime;

    /**
     * Joins the quotas.
     *
     * @throws IllegalArgumentException if the pool's guarantees are more than there is
     */
    PoolQuotas(SharedQuotas sharedQuotas, PoolConfig.Limits limits) {
        this.limits = limits;
        requests = join(sharedQuotas.requests, limits.requests());
        connections = join(sharedQuotas.connections, limits.connections());
        bodyBytes = join(sharedQuotas.bodyBytes, limits.bodyBytes());
        loopTime = sharedQuotas.loopTime.join(limits.loopWeight());
    }

    private static Quota.Member join(Quota quota, PoolConfig.QuotaRange range) {
        return quota.join(range.guaranteed(), range.max());
    }

    /** Leaves the guarantees to other pools; open requests may still borrow up to the limits. */
    void dropGuarantees() {
        requests.resize(0, limits.requests().max());
        connections.resize(0, limits.connections().max());
        bodyBytes.resize(0, limits.bodyBytes().max());
    }

    /** Leaves the quotas. */
    void leave() {
        requests.leave();
        connections.leave();
        bodyBytes.leave();
        loopTime.leave();
    }

    /** Whether a body of so many bytes may be buffered; {@link #releaseBody} follows if so. */
    boolean acquireBody(long bytes, long now) {
        return bytes == 0 || bodyBytes.acquire(bytes, now);
    }

    /** A body is buffered no more. */
    void releaseBody(long bytes) {
        if (bytes > 0) {
            bodyBytes.release(bytes);
        }
    }
}
