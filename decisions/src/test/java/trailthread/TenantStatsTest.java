package trailthread;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;
import trailthread.api.Tenant;

/** A quota of 10 a second at 5 nodes: 2 within the span of a second at each. */
class TenantStatsTest {
    private static final int NODES = 5;
    private final TenantStats tenant =
            new TenantStats(new Tenant("acme", 10, 1), 1000 * MS, 1000 * MS, NOW);

    @Test
    void eachNodeAdmitsItsPartOfTheQuota() {
        assertTrue(tenant.countIfWithinQuota(NODES, NOW));
        assertTrue(tenant.countIfWithinQuota(NODES, NOW));
        assertFalse(tenant.countIfWithinQuota(NODES, NOW));
    }

    /** After a span, 2 / e = 0.74 are left of two: two more fit, whatever was over the quota. */
    @Test
    void arrivalsOverTheQuotaDoNotUseItUp() {
        for (int i = 0; i < 100; i++) {
            tenant.countIfWithinQuota(NODES, NOW);
        }
        long later = NOW + 1000 * MS;
        assertTrue(tenant.countIfWithinQuota(NODES, later));
        assertTrue(tenant.countIfWithinQuota(NODES, later));
        assertFalse(tenant.countIfWithinQuota(NODES, later));
    }
}
