package trailthread;

import trailthread.api.Outcome;

/** One attempt at an endpoint. */
final class Attempt {
    final Endpoint endpoint;
    final long sentAt;

    /** This node's attempts at the endpoint when this one was sent. */
    final int inFlightAtSend;

    /** How it ended; null: it is still in flight. */
    Outcome outcome;

    /** Whether it counts as in flight; owned by {@link InFlightTracker}. */
    boolean countedInFlight = true;

    Attempt(Endpoint endpoint, long sentAt, int inFlightAtSend) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.inFlightAtSend = inFlightAtSend;
    }

    /** Whether it may have had its effect, or may still have it. */
    boolean mayHaveRun() {
        return outcome == null || outcome.mayHaveRun();
    }
}
