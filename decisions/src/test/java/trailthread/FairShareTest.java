package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;
import trailthread.api.Settings;
import trailthread.api.Tenant;

/** Which class and tenant is the worst served, also after changes of the settings. */
class FairShareTest {
    private final Settings settings = ScriptedBalancer.settings();
    private final FairShare fairShare = new FairShare();

    FairShareTest() {
        settings.tenants.add(new Tenant("acme", 10, 1));
        settings.tenants.add(new Tenant("zenith", 10, 1));
        fairShare.applySettings(new ActiveSettings(settings), NOW);
    }

    private static void record(DemandStats stats, double requested, double served) {
        stats.requested.add(NOW, requested);
        stats.served.add(NOW, served);
    }

    /** Served are 8 of 10, 3 of 4 and 0 of 0. */
    @Test
    void theWorstServedHasTheSmallestPartOfItsDemand() {
        assertNull(fairShare.worstClass(NOW));
        assertNull(fairShare.worstTenant(NOW));
        record(fairShare.requestClass("safe"), 10, 8);
        record(fairShare.requestClass("keyed"), 4, 3);
        assertSame(fairShare.requestClass("keyed"), fairShare.worstClass(NOW));
        record(fairShare.tenant("acme"), 10, 7);
        record(fairShare.tenant("zenith"), 2, 2);
        assertSame(fairShare.tenant("acme"), fairShare.worstTenant(NOW));
    }

    @Test
    void applyingSettingsKeepsTheCountsOfUnchangedClassesAndTenants() {
        RequestClassStats safe = fairShare.requestClass("safe");
        TenantStats acme = fairShare.tenant("acme");
        TenantStats zenith = fairShare.tenant("zenith");
        settings.tenants.set(1, new Tenant("zenith", 20, 1));
        fairShare.applySettings(new ActiveSettings(settings), NOW);
        assertSame(safe, fairShare.requestClass("safe"));
        assertSame(acme, fairShare.tenant("acme"));
        assertNotSame(zenith, fairShare.tenant("zenith"));
    }

    /**
     * Requests of a class that was removed may still be in flight, but it is no longer compared.
     */
    @Test
    void aClassOfEarlierSettingsIsStillKnown() {
        RequestClassStats removed = fairShare.requestClass("unsafe");
        record(removed, 10, 0);
        settings.classes.removeIf(c -> c.name().equals("unsafe"));
        fairShare.applySettings(new ActiveSettings(settings), NOW);
        assertSame(removed, fairShare.requestClass("unsafe"));
        assertNull(fairShare.worstClass(NOW));
        Exception unknown =
                assertThrows(IllegalArgumentException.class, () -> fairShare.requestClass("other"));
        assertEquals("classes: none is named other", unknown.getMessage());
    }
}
