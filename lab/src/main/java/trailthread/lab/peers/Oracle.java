package trailthread.lab.peers;

import java.util.List;
import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.Settings;

/** The worker at which one more request would be done soonest, by the true state of all, with what is on its way. */
final class Oracle extends PlainPolicy {
    private final Truth truth;

    Oracle(Settings settings, long seed, Actions actions, Truth truth) {
        super(settings, seed, actions);
        this.truth = truth;
    }

    @Override
    Backend choose(List<Backend> among, long now) {
        return least(among, b -> truth.stretch(b.name));
    }
}
