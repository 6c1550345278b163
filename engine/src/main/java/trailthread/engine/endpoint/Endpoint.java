package trailthread.engine.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import trailthread.api.EndpointState;

/** One endpoint, and the idle connections to it. */
final class Endpoint {
    final String instanceId;
    final String hostPort;
    final InetSocketAddress address;

    /** The last one used last. */
    final ArrayDeque<ConnectionPool.Idle> idle = new ArrayDeque<>();

    final LatencySample answerTime;
    boolean listed = true;

    /** When the node was told that it drains or is gone; 0: it is neither. */
    private long drainsSince;

    /**
     * @param fineNs differences of time that matter to nobody, in nanoseconds
     */
    Endpoint(String instanceId, String hostPort, long fineNs) {
        answerTime = new LatencySample(fineNs);
        this.instanceId = instanceId;
        this.hostPort = hostPort;
        this.address = EndpointPool.address(hostPort);
    }

    void tell(EndpointState state, long now) {
        if (state == EndpointState.READY) {
            drainsSince = 0;
        } else if (drainsSince == 0) {
            drainsSince = now;
        }
    }

    /** Whether something new may still be sent, within the time that the rule on drains allows. */
    boolean takesNew(long now, long graceNs) {
        return drainsSince == 0 || now - drainsSince < graceNs;
    }
}
