package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * Draws two servers at random and chooses the one with fewer outstanding requests of this node
 * (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001).
 */
final class TwoChoices extends PlainPolicy {
    TwoChoices(Settings settings, long seed, BalancerActions actions) {
        super(settings, seed, actions);
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass requestClass, long now) {
        int first = random.nextInt(candidates.size());
        if (candidates.size() == 1) {
            return candidates.get(first);
        }
        int second = random.nextInt(candidates.size() - 1);
        Endpoint firstChoice = candidates.get(first);
        Endpoint secondChoice = candidates.get(second >= first ? second + 1 : second);
        return secondChoice.outstanding < firstChoice.outstanding ? secondChoice : firstChoice;
    }
}
