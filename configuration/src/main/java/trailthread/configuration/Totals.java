package trailthread.configuration;

/**
 * What all pools of a process share.
 *
 * @param requests in flight
 * @param connections to endpoints
 * @param bodyBytes of request bodies that are buffered
 */
record Totals(long requests, long connections, long bodyBytes) {}
