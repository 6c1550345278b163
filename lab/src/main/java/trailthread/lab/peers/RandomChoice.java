package trailthread.lab.peers;

import java.util.List;
import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Settings;

/** Any worker, each with the same chance. */
final class RandomChoice extends PlainPolicy {
    RandomChoice(Settings settings, long seed, Actions actions) {
        super(settings, seed, actions);
    }

    @Override
    Backend choose(List<Backend> among, RequestClass rules, long now) {
        return among.get(random.nextInt(among.size()));
    }
}
