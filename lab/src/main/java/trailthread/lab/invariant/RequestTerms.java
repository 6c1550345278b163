package trailthread.lab.invariant;

import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;

/**
 * What is owed to a call.
 *
 * @param deadline when its client gives up, in ns
 * @param deduplicationScope for keyed calls: which servers drop a repeat
 * @param deduplicationWindowNs for keyed calls: for how long after the first attempt that may have
 *     run was sent
 */
public record RequestTerms(
        String requestClass,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowNs,
        long deadline) {}
