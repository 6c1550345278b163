package trailthread;

import java.util.List;
import trailthread.api.Settings;

/**
 * Picks the endpoint for a request in four steps: finds the eligible endpoints, predicts how long
 * each would take, finds the home of the request's key, and draws by lottery.
 */
final class EndpointPicker {
    /**
     * A request may be sent to the same endpoint again once its last attempt was sent longer ago
     * than the tightest latency objective divided by this.
     */
    private static final int SAME_ENDPOINT_OBJECTIVE_DIVISOR = 8;

    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final EndpointSubset subset;
    private final LoadEstimator estimator;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final ConcurrencyLimiter limiter;
    private final KeyAffinity affinity;
    private final Lottery lottery;
    private final Candidates candidates = new Candidates();

    EndpointPicker(
            ActiveSettings settings,
            WorkloadMeans means,
            EndpointSubset subset,
            LoadEstimator estimator,
            SlowStart slowStart,
            OutlierDetector outliers,
            ConcurrencyLimiter limiter,
            KeyAffinity affinity,
            Lottery lottery) {
        this.settings = settings;
        this.means = means;
        this.subset = subset;
        this.estimator = estimator;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.limiter = limiter;
        this.affinity = affinity;
        this.lottery = lottery;
    }

    /**
     * The endpoint for the request's next attempt, or null if none is open to it or the request has
     * too little time left.
     *
     * @param ejectionSuspended whether ejected endpoints may be picked
     */
    Endpoint pick(Request request, boolean ejectionSuspended, long now) {
        findCandidates(request, ejectionSuspended, now);
        if (candidates.isNoneOpen() || now + means.latencyNs() / 2 > request.deadline) {
            return null;
        }
        Settings s = settings.get();
        List<Endpoint> endpoints = subset.endpoints();
        int home =
                s.keyAffinity && request.key != 0
                        ? affinity.findHome(request.key, endpoints, candidates)
                        : KeyAffinity.NONE;
        return lottery.draw(endpoints, candidates, home, now);
    }

    private void findCandidates(Request request, boolean ejectionSuspended, long now) {
        boolean maySendAgain = maySendToSameEndpoint(request, now);
        List<Endpoint> endpoints = subset.endpoints();
        candidates.reset(endpoints.size());
        for (int i = 0; i < endpoints.size(); i++) {
            Endpoint endpoint = endpoints.get(i);
            boolean eligible =
                    isEligible(request, endpoint, now)
                            && (maySendAgain || !request.wasSentTo(endpoint))
                            && (ejectionSuspended || outliers.permits(endpoint, request, now));
            if (eligible) {
                double timePerRequestNs = estimator.timePerRequestNs(endpoint, now);
                if (limiter.isOpen(endpoint, limiter.capacity(endpoint, timePerRequestNs), now)) {
                    candidates.open(i, estimator.predictedNs(endpoint, timePerRequestNs));
                }
            }
        }
    }

    private boolean maySendToSameEndpoint(Request request, long now) {
        Attempt last = request.lastAttempt();
        long minIntervalNs = settings.tightestObjectiveNs() / SAME_ENDPOINT_OBJECTIVE_DIVISOR;
        return last != null && now - last.sentAt > minIntervalNs;
    }

    private boolean isEligible(Request request, Endpoint endpoint, long now) {
        return endpoint.isReady()
                && request.isDeduplicatedAt(endpoint)
                && slowStart.permits(endpoint, now);
    }
}
