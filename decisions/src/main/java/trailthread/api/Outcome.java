package trailthread.api;

/** How one attempt or health check ended. */
public enum Outcome {
    /** Answered with success. */
    OK(true),
    /** Answered with an error. */
    ERROR(true),
    /** Rejected by the endpoint, unprocessed. */
    REJECTED(false),
    /** Not answered in time. */
    TIMEOUT(true),
    /** No connection could be made. */
    CONNECT_FAILED(false),
    /** The connection broke with the attempt in flight. */
    RESET(true),
    /** Cancelled by this node. */
    CANCELLED(true),
    /** Not sent, or not to its last byte: the request was over, or out of time or attempts. */
    NOT_SENT(false);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether an attempt that ended so may have had its effect. Only this method decides that. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
