package trailthread.lab.invariant;

/** The invariants of every run, whichever faults are injected. */
public enum Invariant {
    /** Every request that a node receives gets exactly one final response. */
    ONE_ANSWER("one final response per request"),
    /**
     * The response comes before the client times out, allowing for the response slack of the
     * settings.
     */
    IN_TIME("the response comes in time"),
    /** The response is one that a server produced for this request. */
    OWN_ANSWER("the response belongs to the request"),
    /** No request is executed again unless its class allows a repeat there. */
    REPEATS("no repeat that the class forbids"),
    /** At most one attempt of a request is in flight. */
    ONE_ATTEMPT("one attempt in flight at a time"),
    /**
     * A node sends no new attempt to a server once the drain grace has passed since it learned that
     * the server drains or is gone.
     */
    DRAINS("no new attempt to a draining server"),
    /** No cold server receives so much work that it crashes. */
    COLD_STARTS("no cold server is overloaded");

    private final String description;

    Invariant(String description) {
        this.description = description;
    }

    /** A description for people. */
    public String description() {
        return description;
    }
}
