package trailthread.engine.degradation;

import java.util.HashMap;
import java.util.Map;

/**
 * Permits one of several health checks of each endpoint. Counts by endpoint: the balancer checks
 * endpoints in turn, so that one in two of all checks would always leave out the same endpoints.
 */
final class HealthCheckThinning {
    /** What each endpoint has accumulated towards its next check, below 1. */
    private final Map<String, Double> credits = new HashMap<>();

    /**
     * Whether a health check is made.
     *
     * @param factor what the period of health checks is multiplied by, 1 or more
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
