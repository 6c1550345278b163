package trailthread.engine.degradation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.RequestClass;
import trailthread.degradation.DecayingShare;
import trailthread.degradation.DegradationLevel.Reach;
import trailthread.degradation.SheddingOrder;
import trailthread.engine.metrics.RequestResult;

/**
 * The fraction of recent requests outside {@link Reach#SAFE} that lacked an endpoint: they were not
 * served, or were queued for longer than a tenth of their latency objective before their first
 * attempt. Requests that a degradation level has shed do not count: prevents a level from staying
 * in force because of its own shedding.
 */
final class StarvationRate {
    private static final double DECAY_NS = 10e9;
    private static final long MAX_QUEUED_DIVISOR = 10;

    private final DecayingShare starved;

    /** How long a request of a class outside the safe reach may be queued, ns. */
    private final Map<String, Long> maxQueuedNs = new HashMap<>();

    /**
     * The number of requests of a class that were shed and whose rejection has not been recorded
     * yet.
     */
    private final Map<String, Integer> unrecordedSheds = new HashMap<>();

    StarvationRate(List<RequestClass> classes, SheddingOrder order, long now) {
        starved = new DecayingShare(DECAY_NS, now);
        for (RequestClass c : classes) {
            if (order.isOutsideSafeReach(c.name())) {
                maxQueuedNs.put(c.name(), c.latencyObjectiveNs() / MAX_QUEUED_DIVISOR);
            }
        }
    }

    /** A request was shed; its rejection follows. */
    void requestShed(String requestClass) {
        unrecordedSheds.merge(requestClass, 1, Integer::sum);
    }

    /**
     * A request was answered.
     *
     * @param queuedNs from its admission to its first attempt; -1: there was none
     */
    void requestAnswered(String requestClass, RequestResult result, long queuedNs, long now) {
        if (wasShed(requestClass, result, queuedNs)) {
            unrecordedSheds.merge(requestClass, -1, Integer::sum);
        } else if (maxQueuedNs.containsKey(requestClass)) {
            boolean late = queuedNs > maxQueuedNs.get(requestClass);
            starved.count(now, result != RequestResult.SERVED || late);
        }
    }

    private boolean wasShed(String requestClass, RequestResult result, long queuedNs) {
        return result == RequestResult.REFUSED
                && queuedNs < 0
                && unrecordedSheds.getOrDefault(requestClass, 0) > 0;
    }

    /** Returns the fraction, 0 to 1. */
    double rate(long now) {
        return starved.share(now);
    }
}
