package trailthread.engine.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.metrics.ForwardingMetricsRecorder;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RequestResult;

/**
 * Records one pool's metrics in the recorder of all pools, with names of classes and endpoints in
 * the form pool/name.
 */
final class PoolMetrics extends ForwardingMetricsRecorder {
    private final String prefix;

    /** The endpoints on the pool's list, by their names without the prefix. */
    private final Map<String, EndpointEntry> listedEndpoints = new HashMap<>();

    PoolMetrics(String pool, MetricsRecorder recorder) {
        super(recorder);
        this.prefix = pool + "/";
    }

    @Override
    public void requestAdmitted(String requestClass) {
        super.requestAdmitted(prefix + requestClass);
    }

    @Override
    public void requestAnswered(
            String requestClass, RequestResult result, long latencyNs, long queuedNs) {
        super.requestAnswered(prefix + requestClass, result, latencyNs, queuedNs);
    }

    @Override
    public void clientDisconnected(String requestClass) {
        super.clientDisconnected(prefix + requestClass);
    }

    @Override
    public void attemptStarted(String endpoint) {
        super.attemptStarted(prefix + endpoint);
    }

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        super.attemptEnded(prefix + endpoint, outcome, latencyNs, load);
    }

    @Override
    public void surplusReceived(String endpoint) {
        super.surplusReceived(prefix + endpoint);
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        super.healthChecked(prefix + endpoint, outcome, load);
    }

    /**
     * Records a full list as the changes since the previous list. Prevents the full list of one
     * pool from removing the endpoints of the others, as the metrics hold those of all pools.
     */
    @Override
    public void endpointListUpdated(ListKind kind, List<EndpointEntry> entries) {
        List<EndpointEntry> changes = new ArrayList<>();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            Map<String, EndpointEntry> removed = new HashMap<>(listedEndpoints);
            entries.forEach(entry -> removed.remove(entry.endpoint()));
            removed.values().forEach(entry -> changes.add(withPrefix(entry, EndpointState.GONE)));
            listedEndpoints.clear();
        }
        for (EndpointEntry entry : entries) {
            changes.add(withPrefix(entry, entry.state()));
            if (entry.state() == EndpointState.GONE) {
                listedEndpoints.remove(entry.endpoint());
            } else {
                listedEndpoints.put(entry.endpoint(), entry);
            }
        }
        super.endpointListUpdated(ListKind.DELTA, changes);
    }

    /** Removes the pool's endpoints from the metrics. */
    void removeEndpoints() {
        endpointListUpdated(ListKind.FULL, List.of());
    }

    private EndpointEntry withPrefix(EndpointEntry entry, EndpointState state) {
        return new EndpointEntry(
                prefix + entry.endpoint(),
                entry.weight(),
                state,
                entry.zone(),
                entry.startedAtNs(),
                entry.cell());
    }
}
