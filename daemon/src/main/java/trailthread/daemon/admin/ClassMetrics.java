package trailthread.daemon.admin;

import trailthread.engine.metrics.RequestResult;

/** Counts the requests of one class. */
final class ClassMetrics {
    /** Requests that were admitted. */
    long admitted;

    /** Admitted requests whose client disconnected before the response. */
    long clientDisconnects;

    /** Responses to admitted requests. */
    final EnumCounts<RequestResult> responses;

    /** Times from admission to the response. */
    final DurationHistogram durations;

    ClassMetrics() {
        responses = new EnumCounts<>(RequestResult.class);
        durations = new DurationHistogram();
    }

    private ClassMetrics(ClassMetrics other) {
        admitted = other.admitted;
        clientDisconnects = other.clientDisconnects;
        responses = other.responses.copy();
        durations = other.durations.copy();
    }

    ClassMetrics copy() {
        return new ClassMetrics(this);
    }

    /** Admitted requests whose response is pending and whose client is still connected. */
    long inFlight() {
        return admitted - clientDisconnects - durations.count();
    }
}
