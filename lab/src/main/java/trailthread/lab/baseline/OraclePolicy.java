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
    private final FleetView truth;

    OraclePolicy(Settings settings, long seed, BalancerActions actions, FleetView truth) {
        super(settings, seed, actions);
        this.truth = truth;
    }

    @Override
    Endpoint choose(List<Endpoint> among, RequestClass rules, long now) {
        Endpoint best = least(among, b -> truth.stretch(b.name));
        return truth.stretch(best.name) * truth.meanWorkNs() > rules.latencyObjectiveNs()
                ? null
                : best;
    }
}
