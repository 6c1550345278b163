/**
 * TCP sockets on the event loop: what follows when a system call on them fails or is interrupted.
 */
package trailthread.engine.socket;
