package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * The one of two drawn evenly that has fewer of this node's own requests out (Mitzenmacher, "The
 * Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001).
 */
final class TwoChoices extends PlainPolicy {
    TwoChoices(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass rules, long now) {
        int first = random.nextInt(candidates.size());
        if (candidates.size() == 1) {
            return candidates.get(first);
        }
        int second = random.nextInt(candidates.size() - 1);
        Endpoint a = candidates.get(first);
        Endpoint b = candidates.get(second >= first ? second + 1 : second);
        return b.outstanding < a.outstanding ? b : a;
    }
}
