package trailthread.engine.degradation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.RequestClass;
import trailthread.degradation.DecayingShare;
import trailthread.degradation.SheddingOrder;
import trailthread.engine.metrics.RequestResult;

/**
 * Which share of guarded calls lacked an endpoint of late: not served, or first sent to one later
 * than a tenth of their aim after they came; pure. Those that a level has shed are left out, or it
 * would hold itself.
 */
final class StarvationRate {
    private static final double SPAN_NS = 10e9;
    private static final long AIM_PARTS = 10;

    private final DecayingShare lately;

    /** The longest that a call of a guarded class may wait for an endpoint, ns. */
    private final Map<String, Long> mostWaitNs = new HashMap<>();

    /** Guarded calls that were shed and have not had their answer. */
    private final Map<String, Integer> shed = new HashMap<>();

    StarvationRate(List<RequestClass> classes, SheddingOrder order, long now) {
        lately = new DecayingShare(SPAN_NS, now);
        for (RequestClass c : classes) {
            if (order.isGuarded(c.name())) {
                mostWaitNs.put(c.name(), c.latencyObjectiveNs() / AIM_PARTS);
            }
        }
    }

    /** A call is shed; its refusal follows. */
    void shed(String requestClass) {
        shed.merge(requestClass, 1, Integer::sum);
    }

    /**
     * A call has its answer.
     *
     * @param waitedNs from its coming to its first attempt; -1: there was none
     */
    void answered(String requestClass, RequestResult answer, long waitedNs, long now) {
        if (answer == RequestResult.REFUSED
                && waitedNs < 0
                && shed.getOrDefault(requestClass, 0) > 0) {
            shed.merge(requestClass, -1, Integer::sum);
        } else if (mostWaitNs.containsKey(requestClass)) {
            lately.count(
                    now, answer != RequestResult.SERVED || waitedNs > mostWaitNs.get(requestClass));
        }
    }

    double share(long now) {
        return lately.share(now);
    }
}
