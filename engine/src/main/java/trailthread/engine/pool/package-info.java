/**
 * Pools: each is a service of its own, with its balancer, endpoint list and quotas. A pool knows
 * nothing of the others; {@link trailthread.engine.quota} divides what they share.
 */
package trailthread.engine.pool;
