package trailthread.lab.peers;

import java.util.List;
import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Settings;

/** Each worker in its turn, from a place of this node's own on. */
final class RoundRobin extends PlainPolicy {
    private int next;

    RoundRobin(Settings settings, long seed, Actions actions) {
        super(settings, seed, actions);
        next = random.nextInt(1 << 20);
    }

    @Override
    Backend choose(List<Backend> among, RequestClass rules, long now) {
        return among.get(Math.floorMod(next++, among.size()));
    }
}
