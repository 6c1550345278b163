package trailthread;

import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Settings;

/**
 * Decides whether a request may have one more attempt, how long to wait for it, and whether a
 * request that can't be served is rejected or fails.
 *
 * <p>A request that may have run is retried only if that is harmless: it is idempotent, or has an
 * idempotency key, is still within the deduplication window and goes to an endpoint that shares it.
 */
final class RetryPolicy {
    /** An idempotent attempt times out after this multiple of the latency of its endpoint. */
    private static final double TIMEOUT_LATENCIES = 5;

    /**
     * Mean latencies that must be left for a retry after a timeout. With less time left, a timeout
     * would only give up the attempt.
     */
    private static final double RETRY_LATENCIES = 2;

    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final RetryBudget budget;

    RetryPolicy(ActiveSettings settings, WorkloadMeans means, RetryBudget budget) {
        this.settings = settings;
        this.means = means;
        this.budget = budget;
    }

    /** Whether the request may have an attempt now, at any endpoint. */
    boolean permitsAttempt(Request request, long now) {
        Settings s = settings.get();
        return !request.finished
                && !request.streaming
                && request.attemptsSent() < request.maxAttempts(s)
                && now < request.deadline
                && (request.inFlight() == 0 || s.mayHedge)
                && now + s.connectTimeoutNs < request.retryableUntil();
    }

    /**
     * Whether a request whose attempts have all failed may have another. If an earlier attempt may
     * have run, the retry is paid for from the budget, which is not refunded if no endpoint opens
     * in time.
     */
    boolean acquireRetry(Request request, long now) {
        boolean mayHaveRun = request.firstAttemptThatMayHaveRun() != null;
        if (!permitsAttempt(request, now) || (mayHaveRun && !budget.permitsRetry())) {
            return false;
        }
        if (mayHaveRun) {
            budget.withdraw();
        }
        return true;
    }

    /** Until when the next attempt may be written, by the clock of the events. */
    long writeDeadline(Request request) {
        return Math.min(request.deadline, request.retryableUntil());
    }

    /**
     * How long to wait for an attempt that has just been sent, in nanoseconds; 0: until the client
     * gives up. Prevents an endpoint that accepts requests but never responds from holding a
     * request until its deadline. Only an attempt of a request that can still be retried has a
     * timeout.
     */
    long timeoutNs(Request request, Endpoint endpoint, long now) {
        boolean canRetry =
                request.isIdempotent()
                        && request.attemptsSent() < request.maxAttempts(settings.get())
                        && budget.permitsRetry();
        double meanNs = means.latencyNs();
        if (!canRetry || meanNs == 0) {
            return 0;
        }
        double usualNs = Math.max(meanNs, settings.latencyResolutionNs());
        double latencyNs = Math.max(endpoint.latency.latencyNs(), usualNs);
        double size = Math.max(1, means.relativeWork(request.workNs));
        double timeoutNs = TIMEOUT_LATENCIES * latencyNs * size;
        boolean leavesTimeToRetry = now + timeoutNs + RETRY_LATENCIES * meanNs < request.deadline;
        return leavesTimeToRetry ? (long) timeoutNs : 0;
    }

    /**
     * Whether a request that can't be served may be rejected, after which its client may send it
     * again; else it fails.
     */
    static boolean mayReject(Request request) {
        return request.isIdempotent()
                || request.firstAttemptThatMayHaveRun() == null
                || (request.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && request.requestClass.rules.deduplicationScope()
                                == DeduplicationScope.ALL);
    }
}
