package trailthread;

import trailthread.api.Outcome;

/** One attempt of a request, sent to one endpoint. */
final class Attempt {
    final Endpoint endpoint;
    final long sentAt;

    /** This node's attempts in flight at the endpoint just before this one was sent. */
    final int inFlightAtSend;

    /** How the attempt ended; null while it is in flight. */
    Outcome outcome;

    /** Whether the attempt counts as in flight; written only by {@link InFlightTracker}. */
    boolean countedInFlight = true;

    Attempt(Endpoint endpoint, long sentAt, int inFlightAtSend) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.inFlightAtSend = inFlightAtSend;
    }

    /** Whether the endpoint may have processed the request, or may still process it. */
    boolean mayHaveRun() {
        return outcome == null || outcome.mayHaveRun();
    }
}
