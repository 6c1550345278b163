package trailthread.engine.metrics;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/**
 * Forwards all events to another recorder; a base class for recorders that change or observe some
 * of them.
 */
public abstract class ForwardingMetricsRecorder implements MetricsRecorder {
    private final MetricsRecorder recorder;

    /**
     * @param recorder receives the events whose methods are not overridden
     */
    protected ForwardingMetricsRecorder(MetricsRecorder recorder) {
        this.recorder = recorder;
    }

    @Override
    public void requestAdmitted(String requestClass) {
        recorder.requestAdmitted(requestClass);
    }

    @Override
    public void requestAnswered(
            String requestClass, RequestResult result, long latencyNs, long queuedNs) {
        recorder.requestAnswered(requestClass, result, latencyNs, queuedNs);
    }

    @Override
    public void clientDisconnected(String requestClass) {
        recorder.clientDisconnected(requestClass);
    }

    @Override
    public void requestRejected(RejectionReason reason) {
        recorder.requestRejected(reason);
    }

    @Override
    public void attemptStarted(String endpoint) {
        recorder.attemptStarted(endpoint);
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
    public void surplusReceived(String endpoint) {
        recorder.surplusReceived(endpoint);
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        recorder.healthChecked(endpoint, outcome, load);
    }

    @Override
    public void endpointListUpdated(ListKind kind, List<EndpointEntry> entries) {
        recorder.endpointListUpdated(kind, entries);
    }

    @Override
    public void configurationReloaded(boolean applied) {
        recorder.configurationReloaded(applied);
    }

    @Override
    public void degradationLevelEntered(long now, String level) {
        recorder.degradationLevelEntered(now, level);
    }
}
