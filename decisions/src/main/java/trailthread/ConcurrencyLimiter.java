package trailthread;

import java.util.List;

/**
 * Limits how many attempts this node may have in flight at each endpoint, and at all endpoints
 * together.
 *
 * <p>Additive increase, multiplicative decrease on latency, as in TCP Vegas (Brakmo and Peterson,
 * 1995) and in Netflix's concurrency-limits library: a limit grows while the endpoint's latency is
 * under a target ({@link #targetLatencyNs}) and shrinks by the excess over it. If each node
 * computed its limit from the latency alone, the number of attempts at an endpoint would grow with
 * the square root of the number of nodes. With limits that are adjusted in steps, the latency
 * settles at the target, however many nodes share the endpoint. A limit below one is a share of
 * time: the node may have an attempt in flight at the endpoint for that share of the time. The sum
 * of all limits bounds the attempts in flight at all endpoints.
 */
final class ConcurrencyLimiter {
    /**
     * The sum of all nodes' limits for an endpoint that is new to them: few enough attempts for its
     * latency to be the idle latency.
     */
    private static final double INITIAL_TOTAL_LIMIT = 4;

    /**
     * By how much the sum of all nodes' limits for an endpoint grows in the time of one latency.
     */
    private static final double TOTAL_GROWTH = 0.7;

    /**
     * Like {@link #TOTAL_GROWTH}, where the responses of all endpoints adjust the limit. It is
     * multiplied by the headroom, which is the share of the target latency that is not used.
     */
    private static final double TOTAL_PRIOR_GROWTH = 5.6;

    /**
     * When an endpoint rejects an attempt, the limit becomes this share of the node's attempts in
     * flight there.
     */
    private static final double REJECTED_SHARE_KEPT = 0.7;

    /**
     * The smallest limit; with it, an endpoint that rejects is still tried often within a latency
     * objective.
     */
    private static final double MIN_LIMIT = 1.0 / 16;

    /** The target latency, as a share of the mean latency objective. */
    private static final double TARGET_OBJECTIVE_SHARE = 0.4;

    /**
     * The target latency is at least this multiple of the idle latency, as a distant endpoint is
     * slow even when idle.
     */
    private static final double MIN_TARGET_IDLE_LATENCIES = 1.3;

    /**
     * The target latency is at most this multiple of the idle latency, once the endpoint's own idle
     * latency is known.
     */
    private static final double MAX_TARGET_IDLE_LATENCIES = 1.8;

    /** This node's limit for one endpoint. */
    static final class Limit {
        private double attempts;

        /**
         * Uniform in [0, 1) and drawn again at each outcome: rounds the limit at random, so that
         * over all nodes the fractional parts of limits add up.
         */
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

    /** Sets the initial limit of endpoints that are new to this node. */
    void setInitialLimits() {
        List<Endpoint> endpoints = subset.endpoints();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.limit.attempts > 0) {
                continue;
            }
            double initial = initialLimit();
            // Up to twice the initial limit, if this node's limits would otherwise not add up to
            // one attempt.
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
     * Cuts the limit of an endpoint that rejected an attempt. An endpoint with a full queue rejects
     * at once and so would look fast, and rejecting costs it work.
     */
    void recordRejection(Endpoint endpoint) {
        double usedLimit = Math.min(endpoint.limit.attempts, endpoint.inFlight.count() + 1);
        endpoint.limit.attempts = Math.max(minLimit(), REJECTED_SHARE_KEPT * usedLimit);
    }

    /** Cuts the limit of an endpoint that was ejected for congestion to the initial limit. */
    void cutToInitialLimit(Endpoint endpoint) {
        endpoint.limit.attempts = Math.min(endpoint.limit.attempts, initialLimit());
    }

    /**
     * Adjusts limits after a response from an endpoint. The response also adjusts the limits of
     * endpoints with few recent responses of their own, as many nodes can overload the endpoints
     * long before each node has had a response from each endpoint. For these, the latency is
     * reduced by the noise of its mean.
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

    /**
     * The weight of all endpoints' responses in the adjustment of this endpoint's limit, 0 to 1.
     */
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
            double keptShare = 1 - Math.min(1, excess) * prior;
            limit.attempts = Math.max(minLimit(), limit.attempts * keptShare);
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
            double usedLimit =
                    Math.min(limit.attempts, Math.max(count, endpoint.latency.meanInFlight()) + 1);
            double keptShare = 1 - LatencyStats.LATENCY_WEIGHT * Math.min(1, excess);
            limit.attempts = Math.max(minLimit(), usedLimit * keptShare);
        } else if (count + 2 > limit.attempts || nearCapacity) {
            double totalLimit =
                    subset.sharingNodes() * Math.max(1 / INITIAL_TOTAL_LIMIT, limit.attempts);
            limit.attempts += TOTAL_GROWTH / totalLimit;
        }
    }

    /** The latency up to which an endpoint's limit grows, in nanoseconds. */
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
     * How many attempts this node may have in flight at an endpoint; a value below one is the share
     * of the time for which it may have one.
     *
     * @param timePerRequestNs the endpoint's {@link LoadEstimator#timePerRequestNs}
     */
    double capacity(Endpoint endpoint, double timePerRequestNs) {
        return Math.min(endpoint.limit.attempts, targetLatencyNs(endpoint) / timePerRequestNs);
    }

    /**
     * Computes how many attempts this node may have in flight at all endpoints together. Capacity
     * of endpoints that get no attempts is not given to the others: all nodes would send the freed
     * load to the same few endpoints.
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
     * Records the end of an attempt. With many nodes, one attempt from each may overload an
     * endpoint, so a node whose total capacity is below one pauses between attempts. It does not
     * pause if the total is 0: then no endpoint is ready, and the next one to become ready may be
     * sent to at once.
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
     * Whether the endpoint is open, which means that it may be sent one more attempt now. Requests
     * that find no open endpoint are queued at this node: more attempts would only slow an
     * overloaded endpoint further, and an attempt that was sent can no longer be rejected.
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
