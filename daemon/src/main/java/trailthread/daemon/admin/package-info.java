/**
 * The side of the operators: counts what happens in the node, and serves metrics, status and the
 * commands to drain over HTTP. All of it runs on the loop's thread, but for the rendering.
 */
package trailthread.daemon.admin;
