package trailthread.lab.invariant;

import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;

/**
 * The deadline and the rules on repeats that hold for a request.
 *
 * @param deadline when its client times out, in ns
 * @param deduplicationScope which servers drop a repeated request that carries an idempotency key
 * @param deduplicationWindowNs how long these servers do so, counted from when the first attempt
 *     that may have run was sent
 */
public record RequestTerms(
        String requestClass,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowNs,
        long deadline) {}
