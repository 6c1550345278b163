package trailthread.lab.peers;

import java.util.List;
import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Settings;

/**
 * The worker at which one more request would be done soonest, by the true state of all, with what
 * is on its way; none, where that would be past the aim. It holds nothing back and foresees no
 * fault, so a policy may still pass it.
 */
final class Oracle extends PlainPolicy {
    private final Truth truth;

    Oracle(Settings settings, long seed, Actions actions, Truth truth) {
        super(settings, seed, actions);
        this.truth = truth;
    }

    @Override
    Backend choose(List<Backend> among, RequestClass rules, long now) {
        Backend best = least(among, b -> truth.stretch(b.name));
        return truth.stretch(best.name) * truth.meanWorkNs() > rules.aimNs() ? null : best;
    }
}
