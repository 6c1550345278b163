package trailthread.daemon;

/**
 * When a node that was asked to end does what; pure. In nanoseconds after SIGTERM.
 *
 * @param lastAnswersNs answers end their connections from then on
 * @param closesNs the listening socket closes
 * @param answeredNs every call has its answer by then: the process may be killed soon after
 */
record ShutdownPlan(long lastAnswersNs, long closesNs, long answeredNs) {
    /** New connections go on coming for a while, as the front hears of the end late. */
    private static final long SERVES_ON_NS = 700_000_000L;

    /**
     * In the last part of that time, answers end their connections. No sooner: where nodes are
     * restarted in turn, the clients that leave meet one that has just started.
     */
    private static final long LAST_ANSWERS_NS = 150_000_000L;

    /**
     * The platform kills after the longest deadline and {@link #SERVES_ON_NS}, but waits no longer
     * than for this.
     */
    private static final long LONGEST_COUNTED_NS = 3_000_000_000L;

    /** What the signal takes to get here, and answers to get out, on part of a core. */
    private static final long MARGIN_NS = 150_000_000L;

    /**
     * Plans the end.
     *
     * @param longestNs the longest deadline of a call, in nanoseconds
     * @param latenessNs how late the loop runs of late, in nanoseconds; it may leave no more than
     *     half of the time
     */
    static ShutdownPlan of(long longestNs, long latenessNs) {
        long countedNs = Math.min(longestNs, LONGEST_COUNTED_NS);
        long answeredNs = SERVES_ON_NS + countedNs - MARGIN_NS - Math.min(latenessNs, MARGIN_NS);
        // Who comes last has at least half of the time that it may have.
        long closesNs = Math.min(SERVES_ON_NS, answeredNs - countedNs / 2);
        return new ShutdownPlan(closesNs - LAST_ANSWERS_NS, closesNs, answeredNs);
    }
}
