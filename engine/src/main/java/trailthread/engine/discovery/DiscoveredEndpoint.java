package trailthread.engine.discovery;

import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;

/**
 * One endpoint as discovery names it.
 *
 * @param instanceId the same at every node
 * @param hostPort where this node reaches it
 * @param cell -1: none
 * @param startedAtMs Unix time; 0: long ago
 */
public record DiscoveredEndpoint(
        String instanceId,
        String hostPort,
        String zone,
        int cell,
        EndpointState lifecycle,
        double weight,
        long startedAtMs) {
    /** The endpoint as the decision module has it. */
    public EndpointEntry entry() {
        return new EndpointEntry(
                instanceId, weight, lifecycle, zone, startedAtMs * 1_000_000, cell);
    }
}
