package trailthread;

import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;

/**
 * One endpoint as this node sees it: its list entry, and the state that each module keeps for it.
 */
final class Endpoint {
    final String name;

    /** A hash of the name, the same at every node, for subset rings and rendezvous hashing. */
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

    /** The cell of endpoints with which this one shares a deduplication window; negative: none. */
    int cell() {
        return cell;
    }

    /** When the endpoint last started, in nanoseconds; 0: long ago. */
    long startedAtNs() {
        return startedAtNs;
    }

    /**
     * The largest weight that the endpoint was ever listed with: its size, where listed weights
     * fall with load.
     */
    double largestWeight() {
        return largestWeight;
    }

    /**
     * The size of the endpoint relative to others.
     *
     * @param byWeight whether listed weights give the size; else every endpoint has size 1
     */
    double size(boolean byWeight) {
        return byWeight && largestWeight > 0 ? largestWeight : 1;
    }
}
