package trailthread.daemon.admin;

/**
 * Limits on the descriptors and the loop's time that clients of the admin server can use.
 *
 * @param maxConnections the maximum number of open connections; a further one replaces the one that
 *     has been idle longest
 * @param idleTimeoutMs a connection without a request is closed after this time, in milliseconds
 * @param headTimeoutMs the maximum time from a request head's first byte to its last
 * @param responseReadTimeoutNs a client's connection is closed if it does not read its response
 *     within this time
 * @param minResponseIntervalNs the minimum interval between two responses on a connection; a
 *     response that would come sooner is delayed
 * @param minAcceptIntervalNs the minimum interval between accepting two connections
 * @param cacheNs how long rendered metrics are served from the cache
 */
record AdminLimits(
        int maxConnections,
        int idleTimeoutMs,
        int headTimeoutMs,
        long responseReadTimeoutNs,
        long minResponseIntervalNs,
        long minAcceptIntervalNs,
        long cacheNs) {
    static final int DEFAULT_MAX_CONNECTIONS = 24;

    /** Limits all clients together to a few percent of the loop's time. */
    static final AdminLimits DEFAULT =
            new AdminLimits(
                    DEFAULT_MAX_CONNECTIONS,
                    15_000,
                    2_000,
                    10_000_000_000L,
                    100_000_000L,
                    10_000_000L,
                    1_000_000_000L);
}
