package trailthread.engine.metrics;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** Keeps nothing. */
final class NoopMetricsRecorder implements MetricsRecorder {
    @Override
    public void taken(String requestClass) {}

    @Override
    public void answered(String requestClass, RequestResult answer, long afterNs, long waitedNs) {}

    @Override
    public void gone(String requestClass) {}

    @Override
    public void rejected(RejectionReason why) {}

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
    public void reloaded(boolean taken) {}

    @Override
    public void levelEntered(long now, String level) {}
}
