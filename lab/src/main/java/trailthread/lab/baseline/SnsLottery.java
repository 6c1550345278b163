package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * The paper's lottery, with nothing else of this project's: tickets inverse to the reported queue,
 * smoothed, with the correction by own sends since the report, or without (Chawathe and Brewer,
 * "System Support for Scalable and Fault Tolerant Internet Services", 1998, 3.2).
 */
final class SnsLottery extends PlainPolicy {
    private final boolean corrected;

    SnsLottery(Settings settings, long seed, BalancerActions actions, boolean corrected) {
        super(settings, seed, actions);
        this.corrected = corrected;
    }

    private double tickets(Endpoint b) {
        return 1 / (1 + b.reportedQueue + (corrected ? b.sentSinceReport : 0));
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass rules, long now) {
        double sum = 0;
        for (Endpoint b : candidates) {
            sum += tickets(b);
        }
        double draw = random.nextDouble() * sum;
        for (Endpoint b : candidates) {
            draw -= tickets(b);
            if (draw < 0) {
                return b;
            }
        }
        return candidates.get(candidates.size() - 1);
    }
}
