package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** Chooses any server with equal probability. */
final class RandomChoice extends PlainPolicy {
    RandomChoice(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass requestClass, long now) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
