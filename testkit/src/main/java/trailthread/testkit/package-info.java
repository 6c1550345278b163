/** Runs the real program in tests, between scripted servers and clients on loopback. */
package trailthread.testkit;
