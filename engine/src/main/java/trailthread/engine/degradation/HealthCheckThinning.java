package trailthread.engine.degradation;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets one probe in so many through, endpoint by endpoint: the module takes them in turn, so that
 * one in two of all would leave out the same half of the endpoints for ever. Pure.
 */
final class HealthCheckThinning {
    private final Map<String, Double> saved = new HashMap<>();

    /** Whether a probe is made, where their period is to be multiplied by this. */
    boolean passes(String endpoint, double factor) {
        if (factor <= 1) {
            saved.clear();
            return true;
        }
        double now = saved.getOrDefault(endpoint, 1 - 1 / factor) + 1 / factor;
        saved.put(endpoint, now >= 1 ? now - 1 : now);
        return now >= 1;
    }
}
