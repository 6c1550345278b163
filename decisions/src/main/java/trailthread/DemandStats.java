package trailthread;

/**
 * The recent demand of a class or tenant, and the part of it that was served, in priority weight.
 */
abstract class DemandStats {
    final DecayingCounter requested;
    final DecayingCounter served;

    DemandStats(long decayNs, long now) {
        requested = new DecayingCounter(decayNs, now);
        served = new DecayingCounter(decayNs, now);
    }
}
