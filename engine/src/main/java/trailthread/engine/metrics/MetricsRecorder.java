package trailthread.engine.metrics;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;

/** Hears what happens in the node, on the loop's thread, and returns at once. */
public interface MetricsRecorder {
    /** Where nobody wants to know. */
    MetricsRecorder OFF = new NoopMetricsRecorder();

    /**
     * A call was taken: it has come whole or, where its body is passed on, its body has begun to
     * find no room. It ends with {@link #answered} or {@link #gone}, once; a long answer ends with
     * its last byte from the endpoint.
     */
    void taken(String requestClass);

    /**
     * A call that was taken has its answer.
     *
     * @param afterNs from its taking to the answer
     * @param waitedNs from its taking to its first attempt; -1: there was none
     */
    void answered(String requestClass, RequestResult answer, long afterNs, long waitedNs);

    /** The client of a call that was taken has gone before its answer. */
    void gone(String requestClass);

    /** A request was answered without being taken as a call. */
    void rejected(RejectionReason why);

    /** An attempt is to be made at an endpoint; its end follows, once. */
    void attemptBegun(String endpoint);

    /** An attempt's last byte has been written to its endpoint. */
    void attemptSent();

    /**
     * An attempt has ended.
     *
     * @param latencyNs -1 where the node can't tell its own lateness from it
     * @param load what the endpoint told of itself with it, or null
     */
    void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load);

    /**
     * A probe has ended.
     *
     * @param load what the endpoint told of itself, or null
     */
    void healthChecked(String endpoint, Outcome outcome, LoadReport load);

    /** News of the endpoints, as the decision module gets it. */
    void listed(ListKind kind, List<EndpointEntry> entries);

    /** A configuration was read at a reload, and was taken over or not. */
    void reloaded(boolean taken);

    /**
     * The node serves at this level from now on; the level it has already changes nothing.
     *
     * @param now Unix time in nanoseconds
     */
    void levelEntered(long now, String level);
}
