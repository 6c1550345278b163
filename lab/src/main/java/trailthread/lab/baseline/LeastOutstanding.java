package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * Chooses the server with the fewest outstanding requests of this node; ties are broken at random.
 */
final class LeastOutstanding extends PlainPolicy {
    LeastOutstanding(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass requestClass, long now) {
        return leastBy(candidates, endpoint -> endpoint.outstanding);
    }
}
