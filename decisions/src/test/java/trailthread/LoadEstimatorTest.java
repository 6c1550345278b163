package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.SECOND;

import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.LoadReport;
import trailthread.api.WeightMeaning;

/** Latencies are means of logarithms; the weight of all endpoints' responses is 2. */
final class LoadEstimatorTest {
    private final ModuleFixture modules = new ModuleFixture();
    private final LoadEstimator estimator = modules.estimator;
    private final Endpoint a = ModuleFixture.endpoint("a");
    private final Endpoint b = ModuleFixture.endpoint("b");

    private static LoadReport serviceTime(double latencyMs) {
        double none = Double.NaN;
        return new LoadReport(none, none, none, latencyMs, none, none);
    }

    private double latencyMs(Endpoint endpoint, long now) {
        return estimator.latencyNs(endpoint, now) / MS;
    }

    private double timePerRequestMs(Endpoint endpoint, long now) {
        return estimator.timePerRequestNs(endpoint, now) / MS;
    }

    /**
     * As doublings of 100 ms: the latency of all endpoints is 0 + 0.1 * 2 = 0.2, and b's only
     * response, 2, is 1 above the slow average of both responses, of which a third counts. So b is
     * at (2 + 2 * (0.2 + 1/3)) / 3.
     */
    @Test
    void fewResponsesOfAnEndpointAreWeighedAgainstThoseOfAllEndpoints() {
        assertEquals(0, latencyMs(a, NOW));
        modules.recordResponses(a, 1, 100 * MS, NOW);
        assertEquals(100, latencyMs(b, NOW), 1e-6);
        modules.recordResponses(b, 1, 400 * MS, NOW);
        double doublings = (2 + 2 * (0.2 + 1.0 / 3)) / 3;
        assertEquals(100 * Math.pow(2, doublings), latencyMs(b, NOW), 1e-6);
    }

    /** Weights of own, all and report: 2, 2 and 5 * 2 / (2 + 2) = 2.5; 4^(2.5 / 6.5) = 1.704. */
    @Test
    void newReportOfServiceTimeCountsAndAnOldOneDoesNot() {
        modules.recordResponses(a, 2, 100 * MS, NOW);
        a.load.record(serviceTime(400), NOW);
        assertEquals(170.4, latencyMs(a, NOW), 0.1);
        assertEquals(100, latencyMs(a, NOW + 20 * SECOND), 0.1);
        // Responses that take 100 ms less than the reported service time show that the report is
        // 100 ms too high.
        estimator.recordQueueingDelay(a, 300 * MS, NOW);
        assertEquals(100 * Math.pow(3, 2.5 / 6.5), latencyMs(a, NOW), 0.1);
    }

    @Test
    void overdueResponseRaisesTheTimePerRequestAndAttemptsInFlightDivideIt() {
        estimator.record(new Attempt(a, NOW, 3), 100 * MS, NOW);
        modules.begin(a, NOW);
        assertEquals(25, timePerRequestMs(a, NOW), 1e-6);
        assertEquals(200, timePerRequestMs(a, NOW + 600 * MS), 1e-6);
    }

    /** Otherwise the endpoint would not be drawn again, and would count as slow for ever. */
    @Test
    void latencyOfASlowEndpointWithoutAttemptsDecaysToIdle() {
        modules.recordResponses(a, 50, 20 * MS, NOW);
        modules.recordResponses(a, 30, 500 * MS, NOW);
        modules.inFlight.attemptEnded(modules.begin(a, NOW), NOW);
        assertTrue(latencyMs(a, NOW) > 400, "" + latencyMs(a, NOW));
        assertEquals(
                latencyMs(a, NOW), timePerRequestMs(a, NOW + 500 * MS), 0.1); // half a deadline
        assertEquals(20, timePerRequestMs(a, NOW + 10 * SECOND), 1);
    }

    /**
     * A queue of 3 is smoothed to 1.5, so one more request takes 2.5 times the time per request.
     */
    @Test
    void predictionIsTheRequestsTimesTheTimePerRequestAndTheCrossZonePrice() {
        a.load.record(ScriptedBalancer.queueReport(3), NOW);
        assertEquals(25 * MS, estimator.predictedNs(a, 10 * MS), 1);
        modules.settings.crossZonePrice = 0.05;
        assertEquals(25 * MS, estimator.predictedNs(a, 10 * MS), 1);
        a.update(new EndpointEntry("a", 2, EndpointState.READY, "there", 0, 0));
        assertEquals(50 * MS, estimator.predictedNs(a, 10 * MS), 1);
        modules.settings.weights = WeightMeaning.LIVE;
        assertEquals(25 * MS, estimator.predictedNs(a, 10 * MS), 1);
    }
}
