package trailthread.engine.discovery;

import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;

/**
 * One endpoint of the list that discovery sends.
 *
 * @param instanceId identifies the endpoint; every node sees the same id
 * @param hostPort address:port at which this node reaches the endpoint
 * @param zone the availability zone, or empty
 * @param cell the cell that the endpoint belongs to; -1: none
 * @param lifecycle whether the endpoint is ready, draining or gone
 * @param weight the share of the load relative to the other endpoints
 * @param startedAtMs when the endpoint started, Unix time in milliseconds; 0: unknown, long ago
 */
public record DiscoveredEndpoint(
        String instanceId,
        String hostPort,
        String zone,
        int cell,
        EndpointState lifecycle,
        double weight,
        long startedAtMs) {
    private static final long NS_PER_MS = 1_000_000;

    /** Returns the entry of the balancer's endpoint list for this endpoint. */
    public EndpointEntry entry() {
        return new EndpointEntry(
                instanceId, weight, lifecycle, zone, startedAtMs * NS_PER_MS, cell);
    }
}
