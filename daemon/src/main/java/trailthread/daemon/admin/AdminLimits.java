package trailthread.daemon.admin;

/**
 * What a client of the endpoint may take of the node, whoever it is.
 *
 * @param connections open at once; a further one takes the place of the one that idles longest
 * @param idleMs without a request, a connection is closed after so long
 * @param headMs a request's head is whole so soon after its first byte
 * @param readWithinNs an answer is read within this, or its connection is closed
 * @param answerEveryNs answers on one connection are at least so far apart; what asks sooner waits
 * @param acceptEveryNs so long after connections have come, further ones wait
 * @param freshNs figures are told again for so long, to whoever asks
 */
record AdminLimits(
        int connections,
        int idleMs,
        int headMs,
        long readWithinNs,
        long answerEveryNs,
        long acceptEveryNs,
        long freshNs) {
    static final int MOST_CONNECTIONS = 24;

    /** All clients together then cost the loop some percents of its time at the most. */
    static final AdminLimits USUAL =
            new AdminLimits(
                    MOST_CONNECTIONS,
                    15_000,
                    2_000,
                    10_000_000_000L,
                    100_000_000L,
                    10_000_000L,
                    1_000_000_000L);
}
