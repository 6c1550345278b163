package trailthread.engine.metrics;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** Forwards everything to another recorder; for recorders that change or observe some of it. */
public abstract class ForwardingMetricsRecorder implements MetricsRecorder {
    private final MetricsRecorder recorder;

    /**
     * @param recorder records what is not overridden
     */
    protected ForwardingMetricsRecorder(MetricsRecorder recorder) {
        this.recorder = recorder;
    }

    @Override
    public void taken(String requestClass) {
        recorder.taken(requestClass);
    }

    @Override
    public void answered(String requestClass, RequestResult result, long latencyNs, long queuedNs) {
        recorder.answered(requestClass, result, latencyNs, queuedNs);
    }

    @Override
    public void gone(String requestClass) {
        recorder.gone(requestClass);
    }

    @Override
    public void rejected(RejectionReason reason) {
        recorder.rejected(reason);
    }

    @Override
    public void attemptBegun(String endpoint) {
        recorder.attemptBegun(endpoint);
    }

    @Override
    public void attemptSent() {
        recorder.attemptSent();
    }

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        recorder.attemptEnded(endpoint, outcome, latencyNs, load);
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        recorder.healthChecked(endpoint, outcome, load);
    }

    @Override
    public void listed(ListKind kind, List<EndpointEntry> entries) {
        recorder.listed(kind, entries);
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
