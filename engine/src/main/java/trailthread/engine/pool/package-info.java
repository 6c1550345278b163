/**
 * Pools: each is a service with a balancer, an endpoint list and quotas of its own. A pool does not
 * access the others; {@link trailthread.engine.quota} divides what they share.
 */
package trailthread.engine.pool;
