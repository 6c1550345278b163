package trailthread.engine.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import trailthread.api.EndpointState;

/** One endpoint of the pool, with its idle connections and samples of its latency. */
final class PooledEndpoint {
    private static final long NOT_DRAINING = 0;

    /** How long after surplus bytes each connection to the endpoint carries one request only. */
    private static final long SINGLE_USE_NS = 60_000_000_000L;

    final String instanceId;
    final String hostPort;
    final InetSocketAddress address;

    /** The idle connections; the one used last is at the end. */
    final ArrayDeque<ConnectionPool.IdleConnection> idleConnections = new ArrayDeque<>();

    final LatencySampler latency;

    /** Whether the endpoint is in the current list. */
    boolean listed = true;

    /** When the node learned that the endpoint is draining or gone, or {@link #NOT_DRAINING}. */
    private long drainingSince = NOT_DRAINING;

    /** Until when each connection to the endpoint carries one request only. */
    private long singleUseUntil = Long.MIN_VALUE;

    /**
     * @param hostPort address:port
     * @param latencyToleranceNs differences in latency up to this are ignored, in nanoseconds
     */
    PooledEndpoint(String instanceId, String hostPort, long latencyToleranceNs) {
        latency = new LatencySampler(latencyToleranceNs);
        this.instanceId = instanceId;
        this.hostPort = hostPort;
        this.address = EndpointPool.address(hostPort);
    }

    void setState(EndpointState state, long now) {
        if (state == EndpointState.READY) {
            drainingSince = NOT_DRAINING;
        } else if (drainingSince == NOT_DRAINING) {
            drainingSince = now;
        }
    }

    /**
     * Returns whether new requests may be sent.
     *
     * @param drainGraceNs how long requests may be sent after the endpoint has started to drain
     */
    boolean acceptsRequests(long now, long drainGraceNs) {
        return drainingSince == NOT_DRAINING || now - drainingSince < drainGraceNs;
    }

    /** Records that the endpoint has sent surplus bytes. */
    void surplusReceived(long now) {
        singleUseUntil = now + SINGLE_USE_NS;
    }

    /**
     * Returns whether each connection to the endpoint carries one request only, whose response is
     * complete only with the end of the connection.
     */
    boolean isSingleUse(long now) {
        return now < singleUseUntil;
    }
}
