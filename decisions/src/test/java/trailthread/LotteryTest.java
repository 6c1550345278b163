package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;

/** Shares of 10,000 draws: 0.02 is four standard deviations. */
class LotteryTest {
    private static final int DRAWS = 10_000;
    private static final double TOLERANCE = 0.02;
    private final WiredModules modules = new WiredModules();
    private final Endpoint a = WiredModules.endpoint("a", 0);
    private final Endpoint b = WiredModules.endpoint("b", 0);

    private double shareOfSecond(Endpoint second, double firstNs, double secondNs, int home) {
        Candidates candidates = new Candidates();
        candidates.reset(2);
        candidates.open(0, firstNs);
        candidates.open(1, secondNs);
        Lottery lottery =
                new Lottery(
                        modules.settings,
                        modules.estimator,
                        modules.limiter,
                        modules.slowStart,
                        modules.random);
        int drawn = 0;
        for (int i = 0; i < DRAWS; i++) {
            drawn += lottery.draw(List.of(a, second), candidates, home, NOW) == second ? 1 : 0;
        }
        return drawn / (double) DRAWS;
    }

    private double shareOfSecond(Endpoint second, double firstNs, double secondNs) {
        return shareOfSecond(second, firstNs, secondNs, KeyAffinity.NONE);
    }

    @Test
    void ticketsAreInverseToThePredictedTimeUpToTwiceTheBest() {
        modules.useSubset(1, a, b);
        assertEquals(0.4, shareOfSecond(b, 20 * MS, 30 * MS), TOLERANCE);
        assertEquals(1 / 3.0, shareOfSecond(b, 20 * MS, 40 * MS), TOLERANCE);
        assertEquals(0, shareOfSecond(b, 20 * MS, 41 * MS));
    }

    /** The resolution is a fiftieth of 200 ms; times up to twice that are near the best. */
    @Test
    void timesBelowTheLatencyResolutionExcludeNoEndpoint() {
        modules.useSubset(1, a, b);
        assertEquals(1 / 8.0, shareOfSecond(b, MS, 7 * MS), TOLERANCE);
    }

    @Test
    void ticketsAreInProportionToTheSquareOfTheSuccessRate() {
        modules.useSubset(1, a, b);
        for (int i = 0; i < 5; i++) {
            modules.outliers.recordFailure(b);
        }
        double rate = 0.59049; // 0.9 to the power of 5
        double expected = rate * rate / (1 + rate * rate);
        assertEquals(expected, shareOfSecond(b, 20 * MS, 20 * MS), TOLERANCE);
    }

    /** Half-way through slow start from 0.1 on, the capacity is 0.55. */
    @Test
    void ticketsAreInProportionToTheCapacityInSlowStart() {
        long readyAt = NOW - 15_000 * MS;
        Endpoint starting =
                WiredModules.endpoint(
                        new EndpointEntry("b", 1, EndpointState.READY, "here", readyAt, 0));
        modules.useSubset(1, a, starting);
        assertEquals(0.55 / 1.55, shareOfSecond(starting, 20 * MS, 20 * MS), TOLERANCE);
    }

    /** Limits start at 4 / 8 nodes; a rejection leaves 0.7 of that. */
    @Test
    void ticketsAreInProportionToACapacityUnderOneRequest() {
        modules.useSubset(8, a, b);
        modules.limiter.recordRejection(b);
        assertEquals(0.35 / 0.85, shareOfSecond(b, 20 * MS, 20 * MS), TOLERANCE);
    }

    @Test
    void onlyTheHomeHoldsTickets() {
        modules.useSubset(1, a, b);
        assertEquals(1, shareOfSecond(b, 20 * MS, 90 * MS, 1));
    }
}
