package trailthread;

import trailthread.api.EndpointEntry;
import trailthread.api.Settings;

/**
 * Limits what endpoints that have just started are sent, as a token bucket over all of them.
 *
 * <p>An endpoint's capacity grows linearly from the initial share to all over the slow start time
 * (as Envoy's slow start mode). The bucket fills with this node's certain part of what the starting
 * endpoints can bear. One request at a time from each of hundreds of nodes would overload one; with
 * a bucket for each endpoint, most would be full while the lottery is elsewhere. Capacity is taken
 * from what endpoints serve to this node: over all nodes, that adds up to no more than the true
 * one, however traffic is split.
 */
final class SlowStart {
    /** Share of the starting endpoints' spare capacity that is used, as it is a guess. */
    private static final double USED_CAPACITY_SHARE = 0.5;

    private final ActiveSettings settings;
    private final WorkloadMeans means;
    private final EndpointSubset subset;
    private final RandomSource random;

    /** Responses of all endpoints to this node, over the overload window. */
    private final DecayingCounter served;

    /** Requests that starting endpoints may be sent. */
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

    /** The share of its capacity that an endpoint has for certain: 1 when it is warm. */
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

    /** Records a response with success. */
    void recordServed(long now) {
        served.add(now, 1);
    }

    /**
     * Takes in that the list announces an endpoint. One that has just started brings part of a
     * token by chance, as it is announced to all nodes at once.
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

    /** Takes a token for a request that is sent to an endpoint, if that is starting. */
    void takeToken(Endpoint endpoint, long now) {
        tokens -= isWarm(endpoint, now) ? 0 : 1;
    }
}
