package trailthread.engine.metrics;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** Records nothing. */
final class NoopMetricsRecorder implements MetricsRecorder {
    @Override
    public void requestAdmitted(String requestClass) {}

    @Override
    public void requestAnswered(
            String requestClass, RequestResult result, long latencyNs, long queuedNs) {}

    @Override
    public void clientDisconnected(String requestClass) {}

    @Override
    public void requestRejected(RejectionReason reason) {}

    @Override
    public void attemptStarted(String endpoint) {}

    @Override
    public void attemptSent() {}

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {}

    @Override
    public void surplusReceived(String endpoint) {}

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {}

    @Override
    public void endpointListUpdated(ListKind kind, List<EndpointEntry> entries) {}

    @Override
    public void configurationReloaded(boolean applied) {}

    @Override
    public void degradationLevelEntered(long now, String level) {}
}
