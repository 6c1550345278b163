package trailthread.engine.metrics;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/**
 * Records the node's events for its metrics. The methods are called on the event loop's thread, and
 * must not block.
 */
public interface MetricsRecorder {
    /** Records nothing. */
    MetricsRecorder OFF = new NoopMetricsRecorder();

    /**
     * A request was admitted: it has been received completely or, if its body is streamed, up to
     * what can be buffered. {@link #requestAnswered} or {@link #clientDisconnected} follows, once.
     * For a streamed response it follows once the last byte from the endpoint has arrived.
     */
    void requestAdmitted(String requestClass);

    /**
     * An admitted request was answered.
     *
     * @param latencyNs from its admission to the answer
     * @param queuedNs from its admission to its first attempt; -1: there was none
     */
    void requestAnswered(String requestClass, RequestResult result, long latencyNs, long queuedNs);

    /** The client of an admitted request disconnected before its answer. */
    void clientDisconnected(String requestClass);

    /** A request was answered without being admitted. */
    void requestRejected(RejectionReason reason);

    /** An attempt has started; {@link #attemptEnded} follows, once. */
    void attemptStarted(String endpoint);

    /** An attempt's last byte has been written to its endpoint. */
    void attemptSent();

    /**
     * An attempt has ended.
     *
     * @param latencyNs -1 if the endpoint's latency can't be told from the lateness of the node's
     *     own loop
     * @param load the load report that came with the response, or null
     */
    void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load);

    /**
     * An endpoint has sent bytes that are no part of the response to any request, for which the
     * connection was closed.
     */
    void surplusReceived(String endpoint);

    /**
     * A health check has ended.
     *
     * @param load the endpoint's load report, or null
     */
    void healthChecked(String endpoint, Outcome outcome, LoadReport load);

    /** The endpoint list was updated; the balancer receives the same arguments. */
    void endpointListUpdated(ListKind kind, List<EndpointEntry> entries);

    /**
     * The configuration was read again.
     *
     * @param applied whether the new configuration is in effect now; false: the previous one stays
     *     in effect
     */
    void configurationReloaded(boolean applied);

    /**
     * The node entered a degradation level. Has no effect if the node is at this level already.
     *
     * @param now Unix time in nanoseconds
     */
    void degradationLevelEntered(long now, String level);
}
