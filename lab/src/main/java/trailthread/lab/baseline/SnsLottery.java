package trailthread.lab.baseline;

import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * The lottery of SNS alone: tickets inversely proportional to the smoothed reported queue length,
 * with or without the correction by the attempts of this node since the report (Chawathe and
 * Brewer, "System Support for Scalable and Fault Tolerant Internet Services", 1998, 3.2).
 */
final class SnsLottery extends PlainPolicy {
    private final boolean corrected;

    SnsLottery(Settings settings, long seed, BalancerActions actions, boolean corrected) {
        super(settings, seed, actions);
        this.corrected = corrected;
    }

    private double tickets(Endpoint endpoint) {
        return 1 / (1 + endpoint.reportedQueue + (corrected ? endpoint.sentSinceReport : 0));
    }

    @Override
    Endpoint choose(List<Endpoint> candidates, RequestClass requestClass, long now) {
        double sum = 0;
        for (Endpoint endpoint : candidates) {
            sum += tickets(endpoint);
        }
        double draw = random.nextDouble() * sum;
        for (Endpoint endpoint : candidates) {
            draw -= tickets(endpoint);
            if (draw < 0) {
                return endpoint;
            }
        }
        return candidates.get(candidates.size() - 1);
    }
}
