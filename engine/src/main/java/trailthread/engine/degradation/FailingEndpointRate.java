package trailthread.engine.degradation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.Outcome;

/**
 * Which share of the ready endpoints fails; pure.
 *
 * <p>The rule: of an endpoint's last nine attempts that told of it, more than a third failed, and
 * at least two. An attempt has failed if it ended in an error, a refused or a broken connection,
 * and quickly: within the tightest aim. Time-outs are no such sign, as slow endpoints are not
 * failing ones; nor is an endpoint that turns calls away because it is full. An endpoint without
 * any attempt for a minute no longer counts as failing.
 */
final class FailingEndpointRate {
    private static final int ATTEMPTS = 9;
    private static final int LEAST_FAILED = 2;
    private static final long FORGOTTEN_NS = 60_000_000_000L;

    private final long quickNs;
    private final Map<String, AttemptHistory> endpoints = new HashMap<>();

    /** The last attempts at one endpoint. */
    private static final class AttemptHistory {
        EndpointState state;

        /** Its last attempts, the latest in the lowest bit; 1: it failed. */
        int failed;

        int count;
        long at;
    }

    /**
     * @param quickNs what takes longer has not failed quickly
     */
    FailingEndpointRate(long quickNs) {
        this.quickNs = quickNs;
    }

    /** News of the endpoints. */
    void listed(ListKind kind, List<EndpointEntry> entries) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            endpoints.values().forEach(record -> record.state = EndpointState.GONE);
        }
        for (EndpointEntry entry : entries) {
            endpoints.computeIfAbsent(entry.endpoint(), name -> new AttemptHistory()).state =
                    entry.state();
        }
        endpoints.values().removeIf(record -> record.state == EndpointState.GONE);
    }

    /**
     * An attempt has ended.
     *
     * @param latencyNs -1 where it is not known: that was no time-out, and passes for quick
     */
    void ended(String endpoint, Outcome outcome, long latencyNs, long now) {
        AttemptHistory record = endpoints.get(endpoint);
        boolean failed =
                outcome == Outcome.ERROR
                        || outcome == Outcome.CONNECT_FAILED
                        || outcome == Outcome.RESET;
        if (record != null && (failed || outcome == Outcome.OK)) {
            boolean quickly = failed && latencyNs <= quickNs;
            record.failed = (record.failed << 1 | (quickly ? 1 : 0)) & (1 << ATTEMPTS) - 1;
            record.count = Math.min(ATTEMPTS, record.count + 1);
            record.at = now;
        }
    }

    /** The share of ready endpoints that fail, 0 to 1; NaN where none is ready. */
    double share(long now) {
        int ready = 0;
        int failing = 0;
        for (AttemptHistory record : endpoints.values()) {
            if (record.state == EndpointState.READY) {
                ready++;
                int failed = Integer.bitCount(record.failed);
                boolean fails = failed >= LEAST_FAILED && 3 * failed > record.count;
                failing += fails && now - record.at < FORGOTTEN_NS ? 1 : 0;
            }
        }
        return ready == 0 ? Double.NaN : (double) failing / ready;
    }
}
