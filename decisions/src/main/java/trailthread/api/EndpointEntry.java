package trailthread.api;

/**
 * One entry of the endpoint list.
 *
 * @param endpoint the name of the endpoint, the same at every node
 * @param weight see {@link WeightMeaning}
 * @param startedAtNs when the endpoint last started, in nanoseconds of the host's clock; 0: long
 *     ago
 * @param cell the number of the cell, or -1 for none
 */
public record EndpointEntry(
        String endpoint,
        double weight,
        EndpointState state,
        String zone,
        long startedAtNs,
        int cell) {}
