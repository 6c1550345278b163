package trailthread.api;

/**
 * A tenant and its quota.
 *
 * @param quotaPerSecond requests a second, over all nodes, that count with their full weight
 * @param share the tenant's expected share of all requests, 0 to 1
 */
public record Tenant(String name, double quotaPerSecond, double share) {}
