package trailthread;

/** What a class or tenant has requested and has been served of late, in priority weight. */
abstract class DemandStats {
    final DecayingCounter requested;
    final DecayingCounter served;

    DemandStats(long decayNs, long now) {
        requested = new DecayingCounter(decayNs, now);
        served = new DecayingCounter(decayNs, now);
    }
}
