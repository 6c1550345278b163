package trailthread.engine.metrics;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** Records what happens in the node; called on the loop's thread, it must not block. */
public interface MetricsRecorder {
    /** Records nothing. */
    MetricsRecorder OFF = new NoopMetricsRecorder();

    /**
     * A request was admitted: it has been received completely or, if its body is streamed, up to
     * what can be buffered. {@link #answered} or {@link #gone} follows, once; for a streamed answer
     * with its last byte from the endpoint.
     */
    void taken(String requestClass);

    /**
     * An admitted request was answered.
     *
     * @param latencyNs from its admission to the answer
     * @param queuedNs from its admission to its first attempt; -1: there was none
     */
    void answered(String requestClass, RequestResult result, long latencyNs, long queuedNs);

    /** The client of an admitted request disconnected before its answer. */
    void gone(String requestClass);

    /** A request was answered without being admitted. */
    void rejected(RejectionReason reason);

    /** An attempt begins; its end follows, once. */
    void attemptBegun(String endpoint);

    /** An attempt's last byte has been written to its endpoint. */
    void attemptSent();

    /**
     * An attempt has ended.
     *
     * @param latencyNs -1 if the endpoint's part of it can't be separated from the node's own
     *     lateness
     * @param load the load report that came with the answer, or null
     */
    void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load);

    /**
     * A health check has ended.
     *
     * @param load the endpoint's load report, or null
     */
    void healthChecked(String endpoint, Outcome outcome, LoadReport load);

    /** The endpoint list was updated, as the balancer gets it. */
    void listed(ListKind kind, List<EndpointEntry> entries);

    /** The configuration was read again, and applied or not. */
    void reloaded(boolean applied);

    /**
     * The node is at this degradation level from now on; no change if it was before.
     *
     * @param now Unix time in nanoseconds
     */
    void levelEntered(long now, String level);
}
