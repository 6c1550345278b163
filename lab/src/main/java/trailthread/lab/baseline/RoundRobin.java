package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** Each server in its turn, from a place of this node's own on. */
final class RoundRobin extends PlainPolicy {
    private int next;

    RoundRobin(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
        next = random.nextInt(1 << 20);
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass rules, long now) {
        return candidates.get(Math.floorMod(next++, candidates.size()));
    }
}
