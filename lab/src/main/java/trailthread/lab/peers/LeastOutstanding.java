package trailthread.lab.peers;

import java.util.List;
import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Settings;

/** The worker with the fewest of this node's own requests out; ties at random. */
final class LeastOutstanding extends PlainPolicy {
    LeastOutstanding(Settings settings, long seed, Actions actions) {
        super(settings, seed, actions);
    }

    @Override
    Backend choose(List<Backend> among, RequestClass rules, long now) {
        return least(among, b -> b.outstanding);
    }
}
