package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * The server at which one more request would be done soonest, by the true state of all, with what
 * is on its way; none, where that would be past the aim. It holds nothing back and foresees no
 * fault, so a policy may still pass it.
 */
final class OraclePolicy extends PlainPolicy {
    private final FleetView fleetView;

    OraclePolicy(Settings settings, long seed, BalancerActions actions, FleetView fleetView) {
        super(settings, seed, actions);
        this.fleetView = fleetView;
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass rules, long now) {
        Endpoint best = leastBy(candidates, b -> fleetView.expectedSlowdown(b.name));
        return fleetView.expectedSlowdown(best.name) * fleetView.meanWorkNs()
                        > rules.latencyObjectiveNs()
                ? null
                : best;
    }
}
