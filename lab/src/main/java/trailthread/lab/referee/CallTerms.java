package trailthread.lab.referee;

import trailthread.BalancerApi.Group;
import trailthread.BalancerApi.Semantics;

/**
 * What is owed to a call.
 *
 * @param deadline when its client gives up, in ns
 * @param group for keyed calls: which workers drop a repeat
 * @param windowNs for keyed calls: for how long after the first attempt that may have run was sent
 */
public record CallTerms(
        String requestClass, Semantics semantics, Group group, long windowNs, long deadline) {}
