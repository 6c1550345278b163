package trailthread.engine.metrics;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** Records nothing. */
final class NoopMetricsRecorder implements MetricsRecorder {
    @Override
    public void taken(String requestClass) {}

    @Override
    public void answered(
            String requestClass, RequestResult result, long latencyNs, long queuedNs) {}

    @Override
    public void gone(String requestClass) {}

    @Override
    public void rejected(RejectionReason reason) {}

    @Override
    public void attemptBegun(String endpoint) {}

    @Override
    public void attemptSent() {}

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {}

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {}

    @Override
    public void listed(ListKind kind, List<EndpointEntry> entries) {}

    @Override
    public void reloaded(boolean applied) {}

    @Override
    public void levelEntered(long now, String level) {}
}
