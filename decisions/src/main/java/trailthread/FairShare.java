package trailthread;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.api.Tenant;

/**
 * Demand and service by class and tenant: who is served the smallest part of what it requests.
 *
 * <p>Max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2): the goal gives weight to the
 * worst-served class and tenant, so a gain there counts for more.
 */
final class FairShare {
    /** Memory of demand and service, in longest deadlines: long against one request. */
    private static final double DECAY_DEADLINES = 20;

    private final Map<String, RequestClassStats> classes = new LinkedHashMap<>();

    /** Also the classes of earlier settings, whose requests may still be in flight. */
    private final Map<String, RequestClassStats> allClasses = new HashMap<>();

    private final Map<String, TenantStats> tenants = new LinkedHashMap<>();

    /** Takes over the settings' classes and tenants; those that stay the same keep their counts. */
    void retune(ActiveSettings active, long now) {
        Settings settings = active.get();
        long decayNs = decayNs(active);
        classes.clear();
        for (RequestClass c : settings.classes) {
            RequestClassStats fresh = new RequestClassStats(c, decayNs, now);
            classes.put(
                    c.name(),
                    allClasses.merge(
                            c.name(),
                            fresh,
                            (known, next) -> known.rules.equals(c) ? known : next));
        }
        for (Tenant t : settings.tenants) {
            TenantStats fresh = new TenantStats(t, decayNs, settings.overloadWindowNs, now);
            tenants.merge(t.name(), fresh, (known, next) -> known.tenant.equals(t) ? known : next);
        }
    }

    static long decayNs(ActiveSettings active) {
        return (long) (DECAY_DEADLINES * active.longestDeadlineNs());
    }

    /**
     * @throws IllegalArgumentException if no settings have had this class
     */
    RequestClassStats requestClass(String name) {
        RequestClassStats found = allClasses.get(name);
        if (found == null) {
            throw new IllegalArgumentException("classes: none is named " + name);
        }
        return found;
    }

    /** The tenant, or null where the settings name none so. */
    TenantStats tenant(String name) {
        return tenants.get(name);
    }

    /** The class that is served the smallest part of its demand, or null: none has any. */
    RequestClassStats worstClass(long now) {
        return worst(classes, now);
    }

    /** The tenant that is served the smallest part of its demand, or null: none has any. */
    TenantStats worstTenant(long now) {
        return worst(tenants, now);
    }

    private static <T extends DemandStats> T worst(Map<String, T> all, long now) {
        return all.values().stream()
                .filter(stats -> stats.requested.value(now) > 0)
                .min(
                        Comparator.comparingDouble(
                                stats -> stats.served.value(now) / stats.requested.value(now)))
                .orElse(null);
    }
}
