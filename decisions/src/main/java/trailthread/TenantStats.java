package trailthread;

import trailthread.api.Tenant;

/** A tenant with its demand, service and quota. */
final class TenantStats extends DemandStats {
    final Tenant tenant;

    /** Arrivals within the quota. */
    private final DecayingCounter arrivals;

    TenantStats(Tenant tenant, long decayNs, long quotaSpanNs, long now) {
        super(decayNs, now);
        this.tenant = tenant;
        arrivals = new DecayingCounter(quotaSpanNs, now);
    }

    /**
     * Returns whether an arrival is within this node's part of the tenant's quota, and counts it if
     * it is.
     */
    boolean countIfWithinQuota(int nodes, long now) {
        double quota = tenant.quotaPerSecond() / nodes * arrivals.spanNs() / 1e9;
        boolean within = arrivals.value(now) < quota;
        arrivals.add(now, within ? 1 : 0);
        return within;
    }
}
