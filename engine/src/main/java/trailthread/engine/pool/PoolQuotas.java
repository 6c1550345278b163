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
     * @throws IllegalArgumentException if a guarantee exceeds what is left of its quota
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

    /**
     * Gives up the guarantees, for other pools to have; open requests may still borrow up to the
     * limits.
     */
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

    /**
     * Returns whether so many bytes were acquired; if so, {@link #releaseBodyBytes} must follow.
     */
    boolean acquireBodyBytes(long bytes, long now) {
        return bytes == 0 || bodyBytes.acquire(bytes, now);
    }

    /** Releases the bytes of a body that is no longer buffered. */
    void releaseBodyBytes(long bytes) {
        if (bytes > 0) {
            bodyBytes.release(bytes);
        }
    }
}
