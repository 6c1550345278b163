package trailthread;

/** What a class or tenant has requested and has been served of late, in priority weight. */
abstract class DemandStats {
    final DecayingCounter requested;
    final DecayingCounter served;

    DemandStats(long memoryNs, long now) {
        requested = new DecayingCounter(memoryNs, now);
        served = new DecayingCounter(memoryNs, now);
    }
}
