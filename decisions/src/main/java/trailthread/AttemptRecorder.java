package trailthread;

import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/**
 * Passes the results of attempts to the modules that learn from them, in the order in which these
 * modules depend on each other.
 */
final class AttemptRecorder {
    /**
     * The share of the mean latency that is proportional to a request's work; the rest is the same
     * for all requests.
     */
    private static final double WORK_SHARE = 0.5;

    private final WorkloadMeans means;
    private final LoadEstimator estimator;
    private final InFlightTracker inFlight;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final ConcurrencyLimiter limiter;

    AttemptRecorder(
            WorkloadMeans means,
            LoadEstimator estimator,
            InFlightTracker inFlight,
            SlowStart slowStart,
            OutlierDetector outliers,
            ConcurrencyLimiter limiter) {
        this.means = means;
        this.estimator = estimator;
        this.inFlight = inFlight;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.limiter = limiter;
    }

    /** Records that the attempt waits for its client, and not for its endpoint. */
    void recordStreamedBody(Attempt attempt) {
        inFlight.release(attempt);
    }

    /** Records the first byte of a streamed response. */
    void recordFirstByte(Request request, Attempt attempt, long now) {
        inFlight.release(attempt);
        recordLatency(request, attempt, now - attempt.sentAt, now);
    }

    /**
     * Records the end of an attempt whose outcome has been set.
     *
     * @param latencyNs the latency, or -1 if it is not known
     * @param load the load report that came with the response, or null
     */
    void recordEnd(Request request, Attempt attempt, long latencyNs, LoadReport load, long now) {
        Endpoint endpoint = attempt.endpoint;
        inFlight.attemptEnded(attempt, now);
        if (load != null) {
            endpoint.load.record(load, now);
        }
        switch (attempt.outcome) {
            case OK -> recordSuccess(request, attempt, latencyNs, now);
            case REJECTED -> limiter.recordRejection(endpoint);
            case ERROR, TIMEOUT, RESET, CONNECT_FAILED -> recordFailure(attempt, latencyNs, now);
            default -> {
                // an attempt that was cancelled or never sent says nothing about the endpoint
            }
        }
        limiter.attemptEnded(endpoint, now);
    }

    private void recordSuccess(Request request, Attempt attempt, long latencyNs, long now) {
        slowStart.recordServed(now);
        inFlight.recordResponse(attempt);
        outliers.recordSuccess(attempt.endpoint);
        // The duration of a stream says nothing of the endpoint; its first byte was recorded.
        if (!request.streaming && latencyNs >= 0) {
            recordLatency(request, attempt, latencyNs, now);
        }
    }

    private void recordFailure(Attempt attempt, long latencyNs, long now) {
        Endpoint endpoint = attempt.endpoint;
        outliers.recordFailure(endpoint);
        // A congested endpoint that no longer responds shows this only by timeouts. The first
        // timeout in a row, or that of an overtaken attempt, may be one lost response, so neither
        // counts.
        boolean showsCongestion =
                attempt.outcome == Outcome.TIMEOUT
                        && endpoint.health.failures() > 1
                        && attempt.sentAt > endpoint.inFlight.newestAnsweredSentAt();
        if (showsCongestion) {
            recordEndpointLatency(attempt, latencyNs, now);
        }
        outliers.ejectIfFailing(endpoint, now);
    }

    private void recordLatency(Request request, Attempt attempt, long latencyNs, long now) {
        double size = 1 - WORK_SHARE + WORK_SHARE * means.relativeWork(request.workNs);
        double scaledNs = latencyNs / size;
        estimator.recordQueueingDelay(attempt.endpoint, scaledNs, now);
        recordEndpointLatency(attempt, scaledNs, now);
        means.recordLatency(scaledNs);
        request.requestClass.recordLatency(latencyNs);
    }

    private void recordEndpointLatency(Attempt attempt, double latencyNs, long now) {
        Endpoint endpoint = attempt.endpoint;
        estimator.record(attempt, latencyNs, now);
        limiter.adjust(endpoint, now);
        if (outliers.ejectIfCongested(endpoint, now)) {
            limiter.cutToInitialLimit(endpoint);
        }
    }
}
