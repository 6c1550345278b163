package trailthread;

import java.util.List;

/**
 * Limits how many attempts this node may have in flight at an endpoint, and in all.
 *
 * <p>Additive increase, multiplicative decrease on latency, as in TCP Vegas (Brakmo and Peterson,
 * 1995) and in Netflix's concurrency limits: a limit grows while the endpoint's latency is under a
 * target ({@link #targetLatencyNs}) and shrinks by the excess over it. A limit computed from
 * latency alone would let the crowd at an endpoint grow with the root of the number of nodes;
 * stepped up and down, each node ends where the latency is right, however many share the endpoint.
 * Limits below one are shares of time: they are pooled, and bound what the node has in flight in
 * all.
 */
final class ConcurrencyLimiter {
    /**
     * Attempts that all nodes together start with at an endpoint, so that its idle latency shows.
     */
    private static final double INITIAL_TOTAL_LIMIT = 4;

    /** What all nodes' limits at an endpoint grow by together in a latency. */
    private static final double TOTAL_GROWTH = 0.7;

    /** The same where other endpoints' responses are the evidence, for the whole headroom. */
    private static final double TOTAL_PRIOR_GROWTH = 5.6;

    /** The part of its attempts that a node keeps as its limit when an endpoint rejects one. */
    private static final double REJECTED_SHARE_KEPT = 0.7;

    /** The least limit: an endpoint that rejects is still tried often within an objective. */
    private static final double MIN_LIMIT = 1.0 / 16;

    /** Target latency, as a share of the mean latency objective. */
    private static final double TARGET_OBJECTIVE_SHARE = 0.4;

    /** Target latency, at least so many idle latencies: an endpoint far away is slow when idle. */
    private static final double MIN_TARGET_IDLE_LATENCIES = 1.3;

    /** Target latency, at most so many idle latencies, where the endpoint's own is known. */
    private static final double MAX_TARGET_IDLE_LATENCIES = 1.8;

    /** The limit of one endpoint. */
    static final class Limit {
        private double attempts;

        /** Redrawn at each outcome, so that the fractions of all nodes' limits add up. */
        private double roundingOffset;
    }

    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final LoadEstimator estimator;
    private final InFlightTracker inFlight;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final EndpointSubset subset;
    private final RandomSource random;

    private double totalCapacity = 1;
    private double totalRoundingOffset;
    private long pausedUntil;

    ConcurrencyLimiter(
            ActiveSettings settings,
            WorkloadMeans means,
            LoadEstimator estimator,
            InFlightTracker inFlight,
            SlowStart slowStart,
            OutlierDetector outliers,
            EndpointSubset subset,
            RandomSource random) {
        this.settings = settings;
        this.means = means;
        this.estimator = estimator;
        this.inFlight = inFlight;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.subset = subset;
        this.random = random;
    }

    /** Gives endpoints that are new to this node their first limit. */
    void initialise() {
        List<Endpoint> endpoints = subset.endpoints();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.limit.attempts > 0) {
                continue;
            }
            double initial = initialLimit();
            // Up to twice that, where this node could not have one attempt in flight otherwise.
            double onePerNode = Math.min(2 * initial, 1.0 / endpoints.size());
            endpoint.limit.attempts = Math.max(initial, onePerNode);
        }
    }

    private double initialLimit() {
        return INITIAL_TOTAL_LIMIT / subset.sharingNodes();
    }

    private double minLimit() {
        return Math.min(MIN_LIMIT, 1 / subset.sharingNodes());
    }

    /**
     * Cuts the limit of an endpoint that rejected an attempt. One that is full answers at once,
     * would look fast, and rejecting costs it work.
     */
    void recordRejection(Endpoint endpoint) {
        double reached = Math.min(endpoint.limit.attempts, endpoint.inFlight.count() + 1);
        endpoint.limit.attempts = Math.max(minLimit(), REJECTED_SHARE_KEPT * reached);
    }

    /** Cuts the limit of an endpoint that rests to that of a new one. */
    void cutToInitialLimit(Endpoint endpoint) {
        endpoint.limit.attempts = Math.min(endpoint.limit.attempts, initialLimit());
    }

    /**
     * Adjusts limits after a response from an endpoint. Where an endpoint's own responses are few,
     * the responses of all move its limit too, less the noise of their mean: a crowd overloads
     * endpoints long before each node hears from each.
     */
    void adjust(Endpoint responder, long now) {
        boolean nearCapacity = inFlight.total() + 2 > totalCapacity;
        double variance = estimator.allEndpoints().logVariance();
        double noise = Math.exp(-Math.sqrt(variance * LatencyStats.LATENCY_WEIGHT));
        List<Endpoint> endpoints = subset.endpoints();
        for (int i = 0; i < endpoints.size(); i++) {
            Endpoint endpoint = endpoints.get(i);
            double prior = endpoint == responder ? 0 : priorWeight(endpoint, now);
            adjustByAllResponses(endpoint, noise, prior, nearCapacity, now);
        }
        adjustByOwnResponses(responder, nearCapacity, now);
    }

    /** How far the responses of all endpoints count for this one, 0 to 1. */
    private double priorWeight(Endpoint endpoint, long now) {
        double own = endpoint.latency.recentResponses(now, means.objectiveNs());
        double share = LatencyStats.PRIOR_RESPONSES / (LatencyStats.PRIOR_RESPONSES + own);
        return share * share;
    }

    private void adjustByAllResponses(
            Endpoint endpoint, double noise, double prior, boolean nearCapacity, long now) {
        Limit limit = endpoint.limit;
        double excess = noise * estimator.latencyNs(endpoint, now) / targetLatencyNs(endpoint) - 1;
        if (excess > 0) {
            double cut = 1 - Math.min(1, excess) * prior;
            limit.attempts = Math.max(minLimit(), limit.attempts * cut);
        } else if (nearCapacity) {
            double totalLimit =
                    subset.sharingNodes() * Math.max(1 / INITIAL_TOTAL_LIMIT, totalCapacity);
            limit.attempts += TOTAL_PRIOR_GROWTH * -excess * prior / totalLimit;
        }
    }

    private void adjustByOwnResponses(Endpoint endpoint, boolean nearCapacity, long now) {
        Limit limit = endpoint.limit;
        int count = endpoint.inFlight.count();
        double excess = estimator.latencyNs(endpoint, now) / targetLatencyNs(endpoint) - 1;
        if (excess > 0) {
            double reached =
                    Math.min(limit.attempts, Math.max(count, endpoint.latency.meanInFlight()) + 1);
            double cut = 1 - LatencyStats.LATENCY_WEIGHT * Math.min(1, excess);
            limit.attempts = Math.max(minLimit(), reached * cut);
        } else if (count + 2 > limit.attempts || nearCapacity) {
            double totalLimit =
                    subset.sharingNodes() * Math.max(1 / INITIAL_TOTAL_LIMIT, limit.attempts);
            limit.attempts += TOTAL_GROWTH / totalLimit;
        }
    }

    /** The latency up to which an endpoint takes more, in nanoseconds. */
    private double targetLatencyNs(Endpoint endpoint) {
        double ownIdleNs = endpoint.latency.idleNs();
        double idleNs = Math.max(estimator.idleNs(endpoint), settings.latencyResolutionNs());
        double targetNs =
                Math.max(
                        TARGET_OBJECTIVE_SHARE * means.objectiveNs(),
                        MIN_TARGET_IDLE_LATENCIES * idleNs);
        return ownIdleNs > 0 ? Math.min(targetNs, MAX_TARGET_IDLE_LATENCIES * idleNs) : targetNs;
    }

    /**
     * How many attempts this node may have in flight at an endpoint; below one: for what share of
     * the time it may have one.
     *
     * @param timePerRequestNs the endpoint's {@link LoadEstimator#timePerRequestNs}
     */
    double capacity(Endpoint endpoint, double timePerRequestNs) {
        return Math.min(endpoint.limit.attempts, targetLatencyNs(endpoint) / timePerRequestNs);
    }

    /**
     * Computes what this node may have in flight in all. The capacity of endpoints that take
     * nothing is not lent to the others: all nodes would pour it on the few that look free.
     */
    void updateTotal(long now) {
        totalCapacity = 0;
        boolean ejectionSuspended = outliers.isEjectionSuspended();
        List<Endpoint> endpoints = subset.endpoints();
        for (int i = 0; i < endpoints.size(); i++) {
            Endpoint endpoint = endpoints.get(i);
            if (endpoint.isReady() && (ejectionSuspended || !endpoint.health.isSuspect())) {
                double capacityShare = slowStart.capacityShare(endpoint, now);
                totalCapacity +=
                        capacityShare
                                * capacity(endpoint, estimator.timePerRequestNs(endpoint, now));
            }
        }
    }

    /**
     * Takes in that an attempt has ended. With many nodes, one attempt from each may be too much
     * for an endpoint: where a node's total is under one, it pauses between attempts. A total of
     * none is no reason to pause: no endpoint is ready, and the next one that is may be sent to at
     * once.
     */
    void attemptEnded(Endpoint endpoint, long now) {
        endpoint.limit.roundingOffset = random.uniform();
        totalRoundingOffset = random.uniform();
        updateTotal(now);
        if (totalCapacity > 0 && totalCapacity < 1 && inFlight.total() == 0) {
            double meanLatencyNs = estimator.allEndpoints().latencyNs();
            double objectiveNs = means.objectiveNs();
            double latencyNs =
                    meanLatencyNs > 0
                            ? Math.min(meanLatencyNs, objectiveNs)
                            : objectiveNs * TARGET_OBJECTIVE_SHARE;
            double pauseLatencies = 1 / Math.max(totalCapacity, MIN_LIMIT) - 1;
            pausedUntil = now + random.jittered(latencyNs * pauseLatencies);
        }
    }

    /**
     * Whether the endpoint takes one more attempt now. Past a point a crowded server only slows,
     * and what has been sent can no longer be rejected; requests that find none open are queued
     * here.
     *
     * @param capacity the endpoint's {@link #capacity}
     */
    boolean isOpen(Endpoint endpoint, double capacity, long now) {
        return now >= pausedUntil && hasTotalCapacity() && hasCapacity(endpoint, capacity);
    }

    private boolean hasTotalCapacity() {
        int total = inFlight.total();
        return total == 0 || total + totalRoundingOffset < totalCapacity;
    }

    private static boolean hasCapacity(Endpoint endpoint, double capacity) {
        int count = endpoint.inFlight.count();
        return count == 0
                || endpoint.load.queue() + count + endpoint.limit.roundingOffset < capacity;
    }
}
