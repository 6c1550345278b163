package trailthread;

/** What a timer is for: kept in the low bits of its token, with an id in the rest. */
enum TimerKind {
    /** A request may not be sent any more, see {@link AdmissionController}; the id is its own. */
    SENDABLE_UNTIL,
    /** The endpoint list is to be polled; the id counts the schedules made. */
    LIST_POLL,
    /** Queued requests are looked at again. */
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
