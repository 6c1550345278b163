package trailthread.api;

/**
 * One endpoint as the list names it.
 *
 * @param endpoint its name, the same at every node
 * @param weight see {@link WeightMeaning}
 * @param startedAtNs when it last started, in nanoseconds of the host's clock; 0: long ago
 * @param cell the number of its cell, or -1
 */
public record EndpointEntry(
        String endpoint,
        double weight,
        EndpointState state,
        String zone,
        long startedAtNs,
        int cell) {}
