package trailthread.api;

/** How one attempt or health check ended. */
public enum Outcome {
    /** The endpoint responded with success. */
    OK(true),
    /** The endpoint responded with an error. */
    ERROR(true),
    /** Rejected by the endpoint, unprocessed. */
    REJECTED(false),
    /** No response in time. */
    TIMEOUT(true),
    /** No connection could be made, or it broke before the request's last byte was written. */
    CONNECT_FAILED(false),
    /** The connection broke, or the response was malformed, after the request was written. */
    RESET(true),
    /** Cancelled by this node. */
    CANCELLED(true),
    /**
     * Not sent, or not to the last byte: the request was finished, or had no time or attempts left.
     */
    NOT_SENT(false);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Whether the endpoint may have processed an attempt that ended in this way. No other code
     * decides this.
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
