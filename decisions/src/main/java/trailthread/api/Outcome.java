package trailthread.api;

/** How one attempt or probe ended. */
public enum Outcome {
    /** Served. */
    OK(true),
    /** The endpoint answered with an error. */
    ERROR(true),
    /** Rejected without being looked at. */
    REJECTED(false),
    /** No reply in time. */
    TIMEOUT(true),
    /** No connection could be made. */
    CONNECT_FAILED(false),
    /** The connection dropped with the attempt in flight. */
    RESET(true),
    /** Called off by this node. */
    CANCELLED(true),
    /** Never sent, or not to its last byte: the request was over, or out of time or attempts. */
    NOT_SENT(false);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Whether an attempt that ended so may have had its effect. This is the only place that says
     * so.
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
