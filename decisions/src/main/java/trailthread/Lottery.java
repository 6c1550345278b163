package trailthread;

import java.util.Arrays;
import java.util.List;

/**
 * Draws an endpoint by lottery.
 *
 * <p>Lottery scheduling (Waldspurger and Weihl, OSDI 1994) as the SNS paper uses it (Fox et al.,
 * SOSP 1997, 3.1.2): an endpoint's tickets are inversely proportional to its predicted time. If
 * each node always sent to the best endpoint, all nodes would send to the same one. Tickets are
 * also in proportion to the capacity of an endpoint in slow start, to the square of an endpoint's
 * success rate (an endpoint that fails responds fast and has a short queue), and to its capacity
 * where that is below one attempt. If these factors leave no endpoint a ticket, or give no finite
 * number, the draw is even among the open endpoints.
 */
final class Lottery {
    /**
     * An endpoint holds tickets only if its predicted time is at most this multiple of the
     * smallest.
     */
    private static final double MAX_BEST_MULTIPLE = 2;

    private static final int INITIAL_SIZE = 16;

    private final ActiveSettings settings;
    private final LoadEstimator estimator;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;
    private final RandomSource random;
    private double[] tickets = new double[INITIAL_SIZE];

    Lottery(
            ActiveSettings settings,
            LoadEstimator estimator,
            ConcurrencyLimiter limiter,
            SlowStart slowStart,
            RandomSource random) {
        this.settings = settings;
        this.estimator = estimator;
        this.limiter = limiter;
        this.slowStart = slowStart;
        this.random = random;
    }

    /**
     * Draws one of the open candidates, of which there must be at least one.
     *
     * @param home the index of the only endpoint to hold tickets, or {@link KeyAffinity#NONE}
     */
    Endpoint draw(List<Endpoint> endpoints, Candidates candidates, int home, long now) {
        if (tickets.length < endpoints.size()) {
            tickets = new double[Math.max(endpoints.size(), 2 * tickets.length)];
        }
        double total =
                home == KeyAffinity.NONE
                        ? issueToNearBest(endpoints, candidates, now)
                        : issueToHome(endpoints, home);
        if (!isPositive(total)) {
            total = issueEvenly(endpoints, candidates);
        }
        double remaining = random.uniform() * total;
        int winner = -1;
        for (int i = 0; i < endpoints.size() && remaining >= 0; i++) {
            winner = tickets[i] > 0 ? i : winner;
            remaining -= tickets[i];
        }
        return endpoints.get(winner);
    }

    private double issueToNearBest(List<Endpoint> endpoints, Candidates candidates, long now) {
        double bestNs = Math.max(candidates.bestNs(), settings.latencyResolutionNs());
        double maxNs = MAX_BEST_MULTIPLE * bestNs;
        double total = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            tickets[i] = 0;
            double predictedNs = candidates.predictedNs(i);
            if (predictedNs <= maxNs) {
                Endpoint endpoint = endpoints.get(i);
                double timePerRequestNs = estimator.timePerRequestNs(endpoint, now);
                double capacityFactor = Math.min(1, limiter.capacity(endpoint, timePerRequestNs));
                tickets[i] = capacityFactor * tickets(endpoint, predictedNs, now);
                total += tickets[i];
            }
        }
        return total;
    }

    private double issueToHome(List<Endpoint> endpoints, int home) {
        Arrays.fill(tickets, 0, endpoints.size(), 0);
        tickets[home] = 1;
        return 1;
    }

    private double issueEvenly(List<Endpoint> endpoints, Candidates candidates) {
        double total = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            tickets[i] = candidates.isOpen(i) ? 1 : 0;
            total += tickets[i];
        }
        return total;
    }

    /** Whether a number is above 0 and finite; false if it is not a number. */
    private static boolean isPositive(double number) {
        return number > 0 && number < Double.POSITIVE_INFINITY;
    }

    private double tickets(Endpoint endpoint, double predictedNs, long now) {
        double successRate = endpoint.health.successRate();
        return slowStart.capacityShare(endpoint, now) * successRate * successRate / predictedNs;
    }
}
