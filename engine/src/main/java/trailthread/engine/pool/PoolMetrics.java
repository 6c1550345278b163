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
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.metrics.RequestResult;

/** Records one pool's metrics among those of all pools, with classes and endpoints as pool/name. */
final class PoolMetrics implements MetricsRecorder {
    private final String prefix;
    private final MetricsRecorder recorder;

    /** The pool's endpoints, by their names without the prefix. */
    private final Map<String, EndpointEntry> listed = new HashMap<>();

    PoolMetrics(String pool, MetricsRecorder recorder) {
        this.prefix = pool + "/";
        this.recorder = recorder;
    }

    @Override
    public void taken(String requestClass) {
        recorder.taken(prefix + requestClass);
    }

    @Override
    public void answered(String requestClass, RequestResult result, long latencyNs, long queuedNs) {
        recorder.answered(prefix + requestClass, result, latencyNs, queuedNs);
    }

    @Override
    public void gone(String requestClass) {
        recorder.gone(prefix + requestClass);
    }

    @Override
    public void rejected(RejectionReason reason) {
        recorder.rejected(reason);
    }

    @Override
    public void attemptBegun(String endpoint) {
        recorder.attemptBegun(prefix + endpoint);
    }

    @Override
    public void attemptSent() {
        recorder.attemptSent();
    }

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        recorder.attemptEnded(prefix + endpoint, outcome, latencyNs, load);
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        recorder.healthChecked(prefix + endpoint, outcome, load);
    }

    /**
     * Records a full list as the changes to the one before: the metrics hold the endpoints of all
     * pools, and a full list of one would remove the others.
     */
    @Override
    public void listed(ListKind kind, List<EndpointEntry> entries) {
        List<EndpointEntry> changes = new ArrayList<>();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            Map<String, EndpointEntry> removed = new HashMap<>(listed);
            entries.forEach(entry -> removed.remove(entry.endpoint()));
            removed.values().forEach(entry -> changes.add(withPrefix(entry, EndpointState.GONE)));
            listed.clear();
        }
        for (EndpointEntry entry : entries) {
            changes.add(withPrefix(entry, entry.state()));
            if (entry.state() == EndpointState.GONE) {
                listed.remove(entry.endpoint());
            } else {
                listed.put(entry.endpoint(), entry);
            }
        }
        recorder.listed(ListKind.DELTA, changes);
    }

    /** Removes the pool's endpoints from the metrics. */
    void poolRemoved() {
        listed(ListKind.FULL, List.of());
    }

    private EndpointEntry withPrefix(EndpointEntry entry, EndpointState state) {
        return new EndpointEntry(
                prefix + entry.endpoint(),
                entry.weight(),
                state,
                entry.zone(),
                entry.readyAtNs(),
                entry.cell());
    }

    @Override
    public void reloaded(boolean applied) {
        recorder.reloaded(applied);
    }

    @Override
    public void levelEntered(long now, String level) {
        recorder.levelEntered(now, level);
    }
}
