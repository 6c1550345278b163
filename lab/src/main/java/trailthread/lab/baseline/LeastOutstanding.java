package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** The server with the fewest of this node's own requests out; ties at random. */
final class LeastOutstanding extends PlainPolicy {
    LeastOutstanding(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass rules, long now) {
        return leastBy(candidates, b -> b.outstanding);
    }
}
