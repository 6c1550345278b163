package trailthread.lab.peers;

import java.util.List;
import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Settings;

/**
 * The one of two drawn evenly that has fewer of this node's own requests out (Mitzenmacher, "The
 * Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001).
 */
final class TwoChoices extends PlainPolicy {
    TwoChoices(Settings settings, long seed, Actions actions) {
        super(settings, seed, actions);
    }

    @Override
    Backend choose(List<Backend> among, RequestClass rules, long now) {
        int first = random.nextInt(among.size());
        if (among.size() == 1) {
            return among.get(first);
        }
        int second = random.nextInt(among.size() - 1);
        Backend a = among.get(first);
        Backend b = among.get(second >= first ? second + 1 : second);
        return b.outstanding < a.outstanding ? b : a;
    }
}
