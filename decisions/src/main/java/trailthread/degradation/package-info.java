/**
 * Graceful degradation: levels of reduced service that a node enters when its readings are too
 * high, and the load shedding at each. {@link trailthread.degradation.DegradationController} turns
 * {@link trailthread.degradation.Readings} into {@link trailthread.degradation.Change}s of level
 * and a {@link trailthread.degradation.SheddingPolicy}. No I/O, no threads, no clock of its own.
 */
package trailthread.degradation;
