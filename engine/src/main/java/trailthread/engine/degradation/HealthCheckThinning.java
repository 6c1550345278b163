package trailthread.engine.degradation;

import java.util.HashMap;
import java.util.Map;

/**
 * Permits one of several health checks of each endpoint. Counts by endpoint: the balancer checks
 * endpoints in turn, so that skipping every other check of all endpoints would always skip the same
 * ones.
 */
final class HealthCheckThinning {
    /** The fraction of its next check that each endpoint has accumulated, below 1. */
    private final Map<String, Double> credits = new HashMap<>();

    /**
     * Returns whether a health check may be made.
     *
     * @param factor the factor by which the period of health checks is multiplied, 1 or more
     */
    boolean permits(String endpoint, double factor) {
        if (factor <= 1) {
            credits.clear();
            return true;
        }
        double credit = credits.getOrDefault(endpoint, 1 - 1 / factor) + 1 / factor;
        boolean permitted = credit >= 1;
        credits.put(endpoint, permitted ? credit - 1 : credit);
        return permitted;
    }
}
