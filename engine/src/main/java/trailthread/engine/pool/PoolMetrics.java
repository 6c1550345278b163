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

/** Tells the operators' meter of one pool: classes and endpoints are called pool/name there. */
final class PoolMetrics implements MetricsRecorder {
    private final String prefix;
    private final MetricsRecorder operators;
    private final Map<String, EndpointEntry> listed = new HashMap<>();

    PoolMetrics(String pool, MetricsRecorder operators) {
        this.prefix = pool + "/";
        this.operators = operators;
    }

    @Override
    public void taken(String requestClass) {
        operators.taken(prefix + requestClass);
    }

    @Override
    public void answered(String requestClass, RequestResult answer, long afterNs, long waitedNs) {
        operators.answered(prefix + requestClass, answer, afterNs, waitedNs);
    }

    @Override
    public void gone(String requestClass) {
        operators.gone(prefix + requestClass);
    }

    @Override
    public void rejected(RejectionReason why) {
        operators.rejected(why);
    }

    @Override
    public void attemptBegun(String endpoint) {
        operators.attemptBegun(prefix + endpoint);
    }

    @Override
    public void attemptSent() {
        operators.attemptSent();
    }

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        operators.attemptEnded(prefix + endpoint, outcome, latencyNs, load);
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        operators.healthChecked(prefix + endpoint, outcome, load);
    }

    /**
     * The meter holds the endpoints of all pools, so a whole list of one is told as what changed.
     */
    @Override
    public void listed(ListKind kind, List<EndpointEntry> entries) {
        List<EndpointEntry> changes = new ArrayList<>();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            Map<String, EndpointEntry> left = new HashMap<>(listed);
            entries.forEach(entry -> left.remove(entry.endpoint()));
            left.values().forEach(entry -> changes.add(named(entry, EndpointState.GONE)));
            listed.clear();
        }
        for (EndpointEntry entry : entries) {
            changes.add(named(entry, entry.state()));
            if (entry.state() == EndpointState.GONE) {
                listed.remove(entry.endpoint());
            } else {
                listed.put(entry.endpoint(), entry);
            }
        }
        operators.listed(ListKind.DELTA, changes);
    }

    /** The pool is no more, nor are its endpoints. */
    void ended() {
        listed(ListKind.FULL, List.of());
    }

    private EndpointEntry named(EndpointEntry entry, EndpointState state) {
        return new EndpointEntry(
                prefix + entry.endpoint(),
                entry.weight(),
                state,
                entry.zone(),
                entry.readyAtNs(),
                entry.cell());
    }

    @Override
    public void reloaded(boolean taken) {
        operators.reloaded(taken);
    }

    @Override
    public void levelEntered(long now, String level) {
        operators.levelEntered(now, level);
    }
}
