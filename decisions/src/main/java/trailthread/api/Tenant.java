package trailthread.api;

/** A tenant and what it may send, over all nodes, before its requests lose their worth. */
public record Tenant(String name, double quotaPerSecond, double share) {}
