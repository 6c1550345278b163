package trailthread;

/**
 * The purpose of a timer. The token of a timer holds the kind in its low bits and an id in the
 * others.
 */
enum TimerKind {
    /**
     * It may be too late to send a request, see {@link AdmissionController#sendableUntil}; the id
     * is the request's.
     */
    SENDABLE_UNTIL,
    /** The endpoint list is to be polled; the id is the number of the schedule. */
    LIST_POLL,
    /** Queued requests are to be tried again. */
    QUEUE_RELEASE,
    /** The next endpoint is due for a health check. */
    HEALTH_CHECK;

    private static final int BITS = 2;
    private static final TimerKind[] KINDS = values();

    /** The token of a timer of this kind. */
    long token(long id) {
        return (id << BITS) | ordinal();
    }

    static TimerKind of(long token) {
        return KINDS[(int) (token & ((1 << BITS) - 1))];
    }

    static long id(long token) {
        return token >>> BITS;
    }
}
