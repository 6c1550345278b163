package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * Chooses the server at which one more request would complete first, given the true state of all
 * servers and the requests on their way; rejects the request if it would miss the latency
 * objective. It does not reserve capacity and does not foresee faults, so another policy may still
 * do better.
 */
final class OraclePolicy extends PlainPolicy {
    private final FleetView fleetView;

    OraclePolicy(Settings settings, long seed, BalancerActions actions, FleetView fleetView) {
        super(settings, seed, actions);
        this.fleetView = fleetView;
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass requestClass, long now) {
        Endpoint best = leastBy(candidates, endpoint -> fleetView.expectedSlowdown(endpoint.name));
        return fleetView.expectedSlowdown(best.name) * fleetView.meanWorkNs()
                        > requestClass.latencyObjectiveNs()
                ? null
                : best;
    }
}
