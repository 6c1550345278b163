package trailthread.engine.http;

/**
 * Bytes from a server that are no part of the response to any request.
 *
 * @param afterNs from the end of the connection's last response, or from its opening, to the read
 *     that found the bytes, in nanoseconds
 * @param startsResponse whether the bytes may be the start of a response
 */
public record Surplus(long afterNs, boolean startsResponse) {}
