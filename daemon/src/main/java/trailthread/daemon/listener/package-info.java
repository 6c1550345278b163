/**
 * The side of the clients: accepts their HTTP connections, decodes their requests, reads the
 * bodies, and writes the responses. All of it runs on the loop's thread.
 */
package trailthread.daemon.listener;
