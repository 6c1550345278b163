package trailthread.adapter;

import java.util.List;
import trailthread.adapter.WireException.Problem;
import trailthread.api.BalancerEvents;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;

/**
 * Reads the event on the current line and passes it to a balancer. Times are nanoseconds of the
 * simulator's clock.
 */
final class EventDispatcher {
    private final WireReader reader;
    private final WireCodec codec;
    private final EndpointPages pages;

    EventDispatcher(WireReader reader, WireCodec codec, EndpointPages pages) {
        this.reader = reader;
        this.codec = codec;
        this.pages = pages;
    }

    /**
     * Passes the event to the balancer.
     *
     * @param message the first word of the line
     * @throws WireException for an unknown message or a field that cannot be read
     */
    void dispatch(String message, BalancerEvents balancer, long now) {
        switch (message) {
            case WireMessages.ENDPOINT_LIST -> endpointList(balancer, now);
            case WireMessages.REQUEST -> request(balancer, now);
            case WireMessages.FIRST_BYTE -> firstByte(balancer, now);
            case WireMessages.OUTCOME -> outcome(balancer, now);
            case WireMessages.CLIENT_DISCONNECTED -> clientDisconnected(balancer, now);
            case WireMessages.TIMER_DUE -> timerDue(balancer, now);
            case WireMessages.HEALTH_CHECKED -> healthChecked(balancer, now);
            case WireMessages.PEER_MESSAGE -> peerMessage(balancer, now);
            default ->
                    throw new WireException(
                            Problem.UNEXPECTED_MESSAGE,
                            reader.lineNumber(),
                            "message",
                            "a known message, got '" + message + "'");
        }
    }

    private void endpointList(BalancerEvents balancer, long now) {
        reader.requireFieldCount(4, 4, WireMessages.ENDPOINT_LIST);
        reader.number(2, "rev"); // Checked only: no decision depends on the revision.
        ListKind kind = codec.listKind(3);
        List<EndpointEntry> entries = kind == ListKind.FAILED ? List.of() : pages.namedPage();
        balancer.updateEndpointList(now, kind, entries);
    }

    private void request(BalancerEvents balancer, long now) {
        reader.requireFieldCount(5, 8, WireMessages.REQUEST);
        long flags = reader.numberOr(6, "flags", 0);
        long id = reader.number(1, "ref");
        String requestClass = reader.name(3, "category");
        long workNs = WireCodec.isWorkKnown(flags) ? reader.numberOr(2, "expected_ns", 0) : 0;
        long deadline = reader.number(4, "client_deadline_ns");
        String tenant = reader.nameOrNull(5);
        long key = reader.hexOrZero(7, "entity");
        boolean clientRetry = WireCodec.isClientRetry(flags);
        balancer.requestArrived(now, id, requestClass, workNs, deadline, tenant, clientRetry, key);
    }

    private void firstByte(BalancerEvents balancer, long now) {
        reader.requireFieldCount(5, 5, WireMessages.FIRST_BYTE);
        reader.name(3, "backend"); // Checked only: the attempt says which endpoint it is.
        reader.number(4, "latency_ns");
        balancer.firstByteReceived(now, reader.number(1, "ref"), attempt());
    }

    private void outcome(BalancerEvents balancer, long now) {
        reader.requireFieldCount(7, 8, WireMessages.OUTCOME);
        reader.name(3, "backend"); // Checked only: the attempt says which endpoint it is.
        balancer.attemptEnded(
                now,
                reader.number(1, "ref"),
                attempt(),
                codec.outcome(4),
                reader.number(5, "latency_ns"),
                reader.flag(6, "closed"),
                codec.loadReport(7));
    }

    /** The number of an attempt, from 0 for each request. */
    private int attempt() {
        return (int) reader.number(2, "leg");
    }

    private void clientDisconnected(BalancerEvents balancer, long now) {
        reader.requireFieldCount(2, 2, WireMessages.CLIENT_DISCONNECTED);
        balancer.clientDisconnected(now, reader.number(1, "ref"));
    }

    private void timerDue(BalancerEvents balancer, long now) {
        reader.requireFieldCount(2, 2, WireMessages.TIMER_DUE);
        balancer.timerFired(now, reader.number(1, "name"));
    }

    private void healthChecked(BalancerEvents balancer, long now) {
        reader.requireFieldCount(4, 5, WireMessages.HEALTH_CHECKED);
        balancer.healthChecked(
                now,
                reader.name(1, "backend"),
                codec.outcome(2),
                reader.number(3, "latency_ns"),
                codec.loadReport(4));
    }

    private void peerMessage(BalancerEvents balancer, long now) {
        reader.requireFieldCount(2, 3, WireMessages.PEER_MESSAGE);
        int peer = (int) reader.number(1, "src_peer");
        balancer.peerMessageReceived(now, peer, reader.hexBytes(2, "contents"));
    }
}
