package trailthread;

import trailthread.api.EndpointEntry;
import trailthread.api.Settings;

/**
 * Limits the requests sent to endpoints in slow start, by one token bucket for all of them.
 *
 * <p>An endpoint's capacity grows linearly from the initial share to the whole during the slow
 * start time (as in Envoy's slow start mode). The bucket fills at this node's part of the rate that
 * the starting endpoints can serve. A limit of one attempt at a time per node would not do:
 * hundreds of nodes would still overload an endpoint. Nor would a bucket for each endpoint: most
 * buckets would be full, and lose tokens, while the lottery draws other endpoints.
 *
 * <p>The rate that endpoints can serve is estimated from what they serve to this node. Added up
 * over all nodes, that is no more than the true capacity, however traffic is split between nodes.
 */
final class SlowStart {
    /**
     * Share of the starting endpoints' estimated capacity that is used; not all, as the estimate is
     * rough.
     */
    private static final double USED_CAPACITY_SHARE = 0.5;

    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final EndpointSubset subset;
    private final RandomSource random;

    /** Responses of all endpoints to this node, over the overload window. */
    private final DecayingCounter served;

    /** The number of requests that may be sent to starting endpoints now. */
    private double tokens;

    private long refilledAt;

    SlowStart(
            ActiveSettings settings,
            WorkloadMeans means,
            EndpointSubset subset,
            RandomSource random,
            long now) {
        this.settings = settings;
        this.means = means;
        this.subset = subset;
        this.random = random;
        served = new DecayingCounter(settings.get().overloadWindowNs, now);
    }

    /**
     * The share of its full capacity that an endpoint has at present; 1 after slow start, when it
     * is warm.
     */
    double capacityShare(Endpoint endpoint, long now) {
        Settings s = settings.get();
        long startedAtNs = endpoint.startedAtNs();
        if (startedAtNs == 0 || now - startedAtNs >= s.slowStartNs) {
            return 1;
        }
        double ageNs = Math.max(0, now - startedAtNs);
        return s.slowStartInitialShare + (1 - s.slowStartInitialShare) * ageNs / s.slowStartNs;
    }

    boolean isWarm(Endpoint endpoint, long now) {
        return capacityShare(endpoint, now) >= 1;
    }

    /** Records a successful response. */
    void recordServed(long now) {
        served.add(now, 1);
    }

    /**
     * Handles an endpoint that is new in the list. If it is in slow start, adds a random fraction
     * of a token. All nodes learn of the endpoint at the same time, and if their buckets filled in
     * step, all would send it their first request at the same time.
     */
    void endpointAnnounced(EndpointEntry entry, long now) {
        if (entry.startedAtNs() > Math.max(0, now - settings.get().slowStartNs)) {
            tokens += random.uniform();
        }
    }

    /** Fills the bucket for the time since it was last filled. */
    void refill(long now) {
        Settings s = settings.get();
        double allCapacity = 0;
        double startingCapacity = 0;
        double startingEndpoints = 0;
        for (Endpoint endpoint : subset.endpoints()) {
            double share = capacityShare(endpoint, now);
            allCapacity += share;
            startingCapacity += share < 1 ? share : 0;
            startingEndpoints += share < 1 ? 1 : 0;
        }
        double servedPerNs = served.value(now) / s.overloadWindowNs / Math.max(1, allCapacity);
        // At least one request of any node to each endpoint in the time of a mean objective.
        double tokensPerNs =
                Math.max(
                        USED_CAPACITY_SHARE * s.overloadMultiple * startingCapacity * servedPerNs,
                        startingEndpoints / (subset.sharingNodes() * means.objectiveNs()));
        tokens = Math.min(startingEndpoints, tokens + tokensPerNs * (now - refilledAt));
        refilledAt = now;
    }

    /** Whether an endpoint may be sent one more request. */
    boolean permits(Endpoint endpoint, long now) {
        return tokens >= 1 || isWarm(endpoint, now);
    }

    /** Takes a token for a request to an endpoint in slow start. */
    void takeToken(Endpoint endpoint, long now) {
        tokens -= isWarm(endpoint, now) ? 0 : 1;
    }
}
