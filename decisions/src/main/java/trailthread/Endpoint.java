package trailthread;

import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;

/**
 * One endpoint as this node sees it: its list entry, and a part for each module that keeps state by
 * endpoint.
 */
final class Endpoint {
    final String name;

    /** The same at every node: the base of rings and rendezvous hashing. */
    final long hash;

    final LatencyStats latency = new LatencyStats();
    final ReportedLoad load = new ReportedLoad();
    final InFlightTracker.EndpointAttempts inFlight = new InFlightTracker.EndpointAttempts();
    final OutlierDetector.Health health = new OutlierDetector.Health();
    final ConcurrencyLimiter.Limit limit = new ConcurrencyLimiter.Limit();

    private String zone;
    private int cell;
    private double largestWeight;
    private EndpointState state;
    private long startedAtNs;

    Endpoint(String name) {
        this.name = name;
        hash = HashMixer.hash(name);
    }

    void update(EndpointEntry entry) {
        zone = entry.zone();
        cell = entry.cell();
        largestWeight = Math.max(largestWeight, entry.weight());
        state = entry.state();
        startedAtNs = entry.startedAtNs();
    }

    void remove() {
        state = EndpointState.GONE;
    }

    boolean isReady() {
        return state == EndpointState.READY;
    }

    boolean isRemoved() {
        return state == EndpointState.GONE;
    }

    String zone() {
        return zone;
    }

    /** The cell that shares a deduplication window; negative: none. */
    int cell() {
        return cell;
    }

    /** When it last started, in nanoseconds; 0: long ago. */
    long startedAtNs() {
        return startedAtNs;
    }

    /** The largest weight it was ever listed with: its size, where weights fall with load. */
    double largestWeight() {
        return largestWeight;
    }

    /**
     * Its size relative to others.
     *
     * @param byWeight whether listed weights tell the size; else all are alike
     */
    double size(boolean byWeight) {
        return byWeight && largestWeight > 0 ? largestWeight : 1;
    }
}
