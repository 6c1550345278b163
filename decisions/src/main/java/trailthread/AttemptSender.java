package trailthread;

import trailthread.api.BalancerActions;

/** Sends a request's next attempt, if one is permitted and an endpoint is open to it. */
final class AttemptSender {
    private final AdmissionController admissions;
    private final RetryPolicy retries;
    private final InFlightTracker inFlight;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final EndpointPicker picker;
    private final BalancerActions actions;

    AttemptSender(
            AdmissionController admissions,
            RetryPolicy retries,
            InFlightTracker inFlight,
            SlowStart slowStart,
            OutlierDetector outliers,
            EndpointPicker picker,
            BalancerActions actions) {
        this.admissions = admissions;
        this.retries = retries;
        this.inFlight = inFlight;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.picker = picker;
        this.actions = actions;
    }

    /**
     * Tries to send an attempt. Sends none if no lease on the endpoint list is held, the request
     * may not have another attempt now, no endpoint is open to it or too little time is left.
     *
     * @return whether an attempt was sent
     */
    boolean trySend(Request request, long now) {
        if (!admissions.hasListLease(now)) {
            return false;
        }
        boolean ejectionSuspended = outliers.logIfEjectionSuspended(now);
        if (!retries.permitsAttempt(request, now)) {
            return false;
        }
        slowStart.refill(now);
        inFlight.releaseLost(now);
        Endpoint endpoint = picker.pick(request, ejectionSuspended, now);
        if (endpoint == null) {
            return false;
        }
        send(request, endpoint, now);
        return true;
    }

    private void send(Request request, Endpoint endpoint, long now) {
        // Computed before the new attempt is added, which then counts as one that may have run.
        long writeDeadline = retries.writeDeadline(request);
        inFlight.addAttempt(request, endpoint, now);
        slowStart.takeToken(endpoint, now);
        long timeoutNs = retries.timeoutNs(request, endpoint, now);
        actions.send(request.id, timeoutNs, writeDeadline, endpoint.name);
    }
}
