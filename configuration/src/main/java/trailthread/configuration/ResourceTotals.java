package trailthread.configuration;

/**
 * The totals of the resources that all pools of a process share.
 *
 * @param requests in flight
 * @param connections to endpoints
 * @param bodyBytes of request bodies that are buffered
 */
record ResourceTotals(long requests, long connections, long bodyBytes) {}
