/**
 * Pools: each a service of its own, with its decision module, its list of endpoints and its part of
 * what the process has. A pool hears nothing of the others; what they share is divided by {@link
 * trailthread.engine.quota}.
 */
package trailthread.engine.pool;
