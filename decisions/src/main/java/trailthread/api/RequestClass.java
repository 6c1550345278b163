package trailthread.api;

/**
 * A class of requests.
 *
 * @param latencyObjectiveNs an answer within this earns the full weight, in ns
 * @param objectiveWorkMultiple the objective grows by this multiple of the request's own work; 0
 *     for none
 * @param deadlineNs how long a client waits in all, over all its attempts, in ns
 * @param deduplicationScope for classes with an idempotency key: which endpoints drop repeats
 * @param deduplicationWindowNs for classes with an idempotency key: for how long, in ns
 * @param priorityWeight what one answer within the objective adds to the goal
 * @param lateWeightShare the share of it earned after the objective
 */
public record RequestClass(
        String name,
        long latencyObjectiveNs,
        double objectiveWorkMultiple,
        long deadlineNs,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowNs,
        double priorityWeight,
        double lateWeightShare) {}
