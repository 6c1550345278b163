package trailthread;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.api.Tenant;

/**
 * The demand of each class and tenant and how much of it is served, to find those that are served
 * the smallest share.
 *
 * <p>Max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2): the goal gives weight to the
 * worst-served class and tenant, so a gain there counts for more.
 */
final class FairShare {
    /** Decay time of demand and service, in longest deadlines: long compared with one request. */
    private static final double DECAY_DEADLINES = 20;

    private final Map<String, RequestClassStats> classes = new LinkedHashMap<>();

    /**
     * All classes of the current and earlier settings: requests of earlier classes may be in
     * flight.
     */
    private final Map<String, RequestClassStats> allClasses = new HashMap<>();

    private final Map<String, TenantStats> tenants = new LinkedHashMap<>();

    /**
     * Applies the classes and tenants of the settings; those that have not changed keep their
     * counts.
     */
    void applySettings(ActiveSettings active, long now) {
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

    /** The tenant of this name, or null if the settings have none. */
    TenantStats tenant(String name) {
        return tenants.get(name);
    }

    /** The class that is served the smallest share of its demand, or null if there is no demand. */
    RequestClassStats worstClass(long now) {
        return worst(classes, now);
    }

    /**
     * The tenant that is served the smallest share of its demand, or null if there is no demand.
     */
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
