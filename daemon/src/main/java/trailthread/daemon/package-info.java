/**
 * The program: configuration, start, reload and graceful shutdown of a platform node. {@link
 * trailthread.daemon.Main} is the entry point.
 */
package trailthread.daemon;
