package trailthread.api;

/**
 * One endpoint as the list names it.
 *
 * @param readyAtNs when it last started; 0: long ago
 * @param cell its cell number, or -1
 */
public record EndpointEntry(
        String endpoint,
        double weight,
        EndpointState state,
        String zone,
        long readyAtNs,
        int cell) {}
