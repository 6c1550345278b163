package trailthread.daemon.admin;

/**
 * What clients of the admin server may use of the node's descriptors and time.
 *
 * @param connections open at once; a further one replaces the one that has been idle longest
 * @param idleMs a connection without a request is closed after this time
 * @param headMs the time from a request head's first byte to its last
 * @param readWithinNs the connection of a client that has not read its response by then is closed
 * @param answerEveryNs the least interval between two responses on a connection; later ones wait
 * @param acceptEveryNs for how long no further connections are accepted after one was
 * @param freshNs for how long rendered metrics are served again
 */
record AdminLimits(
        int connections,
        int idleMs,
        int headMs,
        long readWithinNs,
        long answerEveryNs,
        long acceptEveryNs,
        long freshNs) {
    static final int DEFAULT_CONNECTIONS = 24;

    /** Keep the use of the loop's time by all clients together at a few percent. */
    static final AdminLimits DEFAULT =
            new AdminLimits(
                    DEFAULT_CONNECTIONS,
                    15_000,
                    2_000,
                    10_000_000_000L,
                    100_000_000L,
                    10_000_000L,
                    1_000_000_000L);
}
