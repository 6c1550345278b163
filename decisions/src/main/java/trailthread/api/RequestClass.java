package trailthread.api;

/**
 * A class of requests.
 *
 * @param latencyObjectiveNs a response within this time earns the full weight, in ns
 * @param objectiveWorkMultiple the objective grows by this multiple of the request's own work; 0:
 *     it does not grow
 * @param deadlineNs how long a client waits in all, over all its attempts, in ns
 * @param deduplicationScope for classes with an idempotency key: which endpoints drop repeats
 * @param deduplicationWindowNs for classes with an idempotency key: for how long, in ns
 * @param priorityWeight what one response within the objective adds to the goal
 * @param lateWeightShare the share of the priority weight that a response after the objective earns
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
