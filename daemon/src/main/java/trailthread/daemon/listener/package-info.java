/**
 * Client-side HTTP: accepts clients' connections, decodes their requests, reads the bodies and
 * writes the responses. Everything runs on the loop's thread.
 */
package trailthread.daemon.listener;
