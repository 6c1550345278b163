package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** Chooses each server in turn, starting at a random one. */
final class RoundRobin extends PlainPolicy {
    private int next;

    RoundRobin(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
        next = random.nextInt(1 << 20);
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass requestClass, long now) {
        return candidates.get(Math.floorMod(next++, candidates.size()));
    }
}
