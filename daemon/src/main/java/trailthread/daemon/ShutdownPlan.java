package trailthread.daemon;

/**
 * The times of the steps of a graceful shutdown, in nanoseconds after SIGTERM.
 *
 * @param closeAfterResponsesNs from then on, each response closes its connection
 * @param closeListenerNs when the listener is closed: its listening socket, then its connections
 * @param answeredNs by then every request is answered, as the process may be killed soon after
 */
record ShutdownPlan(long closeAfterResponsesNs, long closeListenerNs, long answeredNs) {
    /**
     * How long new connections may still arrive, as the platform's front end learns of the shutdown
     * late.
     */
    private static final long KEEP_SERVING_NS = 700_000_000L;

    /**
     * How long before the listening socket is closed, responses begin to close their connections.
     * Kept short: in a rolling restart, clients that reconnect may reach a node that has only just
     * started.
     */
    private static final long CLOSE_AFTER_RESPONSES_NS = 150_000_000L;

    /**
     * The platform kills the process {@link #KEEP_SERVING_NS} plus the longest deadline after
     * SIGTERM, but counts at most this much of the deadline.
     */
    private static final long MAX_COUNTED_DEADLINE_NS = 3_000_000_000L;

    /** Time for the signal to arrive and responses to be written, on a fraction of a core. */
    private static final long MARGIN_NS = 150_000_000L;

    /** A plan is replaced only by one that is earlier by at least this. */
    private static final long MIN_CHANGE_NS = 10_000_000L;

    /**
     * Plans a shutdown.
     *
     * @param longestDeadlineNs the longest deadline of a request, in nanoseconds
     * @param latenessNs how late the loop currently runs its tasks, in nanoseconds; limited to
     *     {@link #MARGIN_NS}
     */
    static ShutdownPlan of(long longestDeadlineNs, long latenessNs) {
        long deadlineNs = Math.min(longestDeadlineNs, MAX_COUNTED_DEADLINE_NS);
        long marginNs = MARGIN_NS + Math.min(latenessNs, MARGIN_NS);
        long answeredNs = KEEP_SERVING_NS + deadlineNs - marginNs;
        // The last requests to be accepted have at least half of their deadline left.
        long closeListenerNs = Math.min(KEEP_SERVING_NS, answeredNs - deadlineNs / 2);
        return new ShutdownPlan(
                closeListenerNs - CLOSE_AFTER_RESPONSES_NS, closeListenerNs, answeredNs);
    }

    /** Whether this plan is earlier than another by enough to replace it. */
    boolean isEarlierThan(ShutdownPlan other) {
        return answeredNs <= other.answeredNs - MIN_CHANGE_NS;
    }

    /** The plan of the two by which requests are answered earlier. */
    static ShutdownPlan earlier(ShutdownPlan one, ShutdownPlan other) {
        return one.answeredNs <= other.answeredNs ? one : other;
    }
}
