package trailthread.engine.degradation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.Outcome;

/**
 * The fraction of ready endpoints that are failing.
 *
 * <p>An endpoint is failing if at least two, and more than a third, of its last nine conclusive
 * attempts failed. An attempt failed if it ended in an error, or in a refused or broken connection,
 * within the tightest latency objective. Timeouts are not conclusive, as a slow endpoint is not a
 * failing one. Nor are rejections, as an endpoint at its limit is not failing either. An endpoint
 * without an attempt for a minute is no longer failing.
 */
final class FailingEndpointRate {
    private static final int MAX_ATTEMPTS = 9;
    private static final int MIN_FAILED = 2;
    private static final long EXPIRY_NS = 60_000_000_000L;

    private final long maxFailureLatencyNs;
    private final Map<String, AttemptHistory> endpoints = new HashMap<>();

    /** The last attempts at one endpoint. */
    private static final class AttemptHistory {
        private EndpointState state;

        /**
         * A bit for each of the last attempts, the latest in the lowest bit; 1: the attempt failed.
         */
        private int failures;

        private int attempts;
        private long lastAttemptAt;

        void add(boolean failed, long now) {
            failures = (failures << 1 | (failed ? 1 : 0)) & (1 << MAX_ATTEMPTS) - 1;
            attempts = Math.min(MAX_ATTEMPTS, attempts + 1);
            lastAttemptAt = now;
        }

        boolean isFailing(long now) {
            int failed = Integer.bitCount(failures);
            return failed >= MIN_FAILED && 3 * failed > attempts && now - lastAttemptAt < EXPIRY_NS;
        }
    }

    /**
     * @param maxFailureLatencyNs the latency up to which a failure counts, ns
     */
    FailingEndpointRate(long maxFailureLatencyNs) {
        this.maxFailureLatencyNs = maxFailureLatencyNs;
    }

    /** The endpoint list was updated. */
    void endpointListUpdated(ListKind kind, List<EndpointEntry> entries) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            endpoints.values().forEach(history -> history.state = EndpointState.GONE);
        }
        for (EndpointEntry entry : entries) {
            endpoints.computeIfAbsent(entry.endpoint(), name -> new AttemptHistory()).state =
                    entry.state();
        }
        endpoints.values().removeIf(history -> history.state == EndpointState.GONE);
    }

    /**
     * An attempt has ended.
     *
     * @param latencyNs -1: unknown. A failure then counts, as the attempt did not time out
     */
    void attemptEnded(String endpoint, Outcome outcome, long latencyNs, long now) {
        AttemptHistory history = endpoints.get(endpoint);
        boolean failed =
                outcome == Outcome.ERROR
                        || outcome == Outcome.CONNECT_FAILED
                        || outcome == Outcome.RESET;
        if (history != null && (failed || outcome == Outcome.OK)) {
            history.add(failed && latencyNs <= maxFailureLatencyNs, now);
        }
    }

    /** Returns the fraction, 0 to 1; NaN if no endpoint is ready. */
    double rate(long now) {
        int ready = 0;
        int failing = 0;
        for (AttemptHistory history : endpoints.values()) {
            if (history.state == EndpointState.READY) {
                ready++;
                if (history.isFailing(now)) {
                    failing++;
                }
            }
        }
        return ready == 0 ? Double.NaN : (double) failing / ready;
    }
}
