/** A seeded soak of the graceful shutdown: the real program under signals, load and bad servers. */
package trailthread.daemon.soak;
