package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.entry;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointState;

/** The target latency is 0.4 * 200 ms = 80 ms, unless the idle latency says otherwise. */
final class ConcurrencyLimiterTest {
    private final ModuleFixture modules = new ModuleFixture();
    private final ConcurrencyLimiter limiter = modules.limiter;

    private List<Endpoint> start(double sharingNodes, String... names) {
        List<Endpoint> endpoints = modules.useSubset(sharingNodes, names);
        limiter.setInitialLimits();
        limiter.updateTotal(NOW);
        return endpoints;
    }

    /**
     * The limit in attempts, which is the capacity of an endpoint that takes no time per request.
     */
    private double limit(Endpoint endpoint) {
        return limiter.capacity(endpoint, 1);
    }

    private double limitAfter(double latencyMs, int inFlight) {
        ConcurrencyLimiterTest fresh = new ConcurrencyLimiterTest();
        Endpoint endpoint = fresh.start(1, "a").get(0);
        for (int i = 0; i < inFlight; i++) {
            fresh.modules.begin(endpoint, NOW);
        }
        fresh.modules.recordResponses(endpoint, 1, latencyMs * MS, NOW);
        fresh.limiter.adjust(endpoint, NOW);
        return fresh.limit(endpoint);
    }

    private double limitAfterRejections(double sharingNodes) {
        Endpoint endpoint = start(sharingNodes, "a").get(0);
        for (int i = 0; i < 30; i++) {
            limiter.recordRejection(endpoint);
        }
        return limit(endpoint);
    }

    @Test
    void initialLimitsOfAllNodesAddUpToFour() {
        assertEquals(4, limit(start(1, "a").get(0)));
        assertEquals(0.25, limit(start(16, "a", "b", "c", "d").get(0)));
        // Up to twice that, so that the limits add up to one attempt.
        assertEquals(0.5, limit(start(16, "a").get(0)));
        assertEquals(1, limit(start(6, "a").get(0)));
    }

    @Test
    void limitGrowsAdditivelyUnderTheTargetAndIsCutByTheExcessOrARejection() {
        assertEquals(4 + 0.7 / 4, limitAfter(40, 3), 1e-9);
        assertEquals(4, limitAfter(40, 0), 1e-9); // the limit is not in use, so it is not raised
        assertEquals(4 * (1 - 0.1 * 0.5), limitAfter(120, 3), 1e-9);
        assertEquals(4 * (1 - 0.1), limitAfter(800, 3), 1e-9);
        assertEquals(1 * (1 - 0.1), limitAfter(800, 0), 1e-9); // only 1 of 4 attempts was in flight
        Endpoint endpoint = start(1, "a").get(0);
        limiter.recordRejection(endpoint);
        assertEquals(0.7, limit(endpoint), 1e-9);
        assertEquals(1.0 / 16, limitAfterRejections(1), 1e-9);
        assertEquals(1.0 / 32, limitAfterRejections(32), 1e-9);
    }

    /**
     * Many nodes can overload the endpoints long before each node has had a response from each
     * endpoint. At 40 ms, half of the target latency is headroom, and both limits together are 8.
     */
    @Test
    void responsesOfOneEndpointAdjustTheLimitOfAnotherWithoutResponses() {
        List<Endpoint> fast = start(1, "a", "b");
        for (int i = 0; i < 7; i++) {
            modules.begin(fast.get(0), NOW);
        }
        modules.recordResponses(fast.get(0), 1, 40 * MS, NOW);
        limiter.adjust(fast.get(0), NOW);
        assertEquals(4 + 5.6 * 0.5 / 8, limit(fast.get(1)), 1e-9);
        limiter.cutToInitialLimit(fast.get(1));
        assertEquals(4, limit(fast.get(1)));

        ConcurrencyLimiterTest other = new ConcurrencyLimiterTest();
        List<Endpoint> slow = other.start(1, "a", "b");
        other.modules.recordResponses(slow.get(0), 1, 100 * MS, NOW);
        other.limiter.adjust(slow.get(0), NOW);
        assertEquals(4 * (1 - 0.25), other.limit(slow.get(1)), 1e-9);
    }

    /** 20 ms idle allows 1.8 * 20 = 36 ms; 100 ms idle is far away and allows 130 ms. */
    @Test
    void capacityIsTheTargetLatencyOverTheTimePerRequestAndAQueueUsesPartOfIt() {
        List<Endpoint> endpoints = start(1, "near", "far");
        Endpoint near = endpoints.get(0);
        modules.recordResponses(near, 13, 20 * MS, NOW);
        modules.recordResponses(endpoints.get(1), 13, 100 * MS, NOW);
        assertEquals(2, limiter.capacity(near, 18 * MS), 1e-6);
        assertEquals(2, limiter.capacity(endpoints.get(1), 65 * MS), 1e-6);
        near.load.record(ScriptedBalancer.queueReport(4), NOW); // smoothed to 2
        assertTrue(limiter.isOpen(near, 0.1, NOW)); // one attempt is always possible
        modules.begin(near, NOW);
        assertFalse(limiter.isOpen(near, 3, NOW));
        assertTrue(limiter.isOpen(near, 3.1, NOW));
    }

    /**
     * Otherwise, all nodes would send the freed load to the same few endpoints. Each endpoint's
     * limit is 1 here.
     */
    @Test
    void capacityOfEjectedEndpointsIsNotGivenToOthersAndANodeWithATotalBelowOnePauses() {
        List<Endpoint> endpoints = start(4, "a", "b", "c", "d");
        modules.begin(endpoints.get(0), NOW);
        modules.begin(endpoints.get(1), NOW);
        assertTrue(limiter.isOpen(endpoints.get(2), 1, NOW));
        modules.recordFailures(endpoints.get(2), 3, NOW);
        modules.recordFailures(endpoints.get(3), 3, NOW);
        limiter.updateTotal(NOW);
        assertFalse(limiter.isOpen(endpoints.get(2), 1, NOW));
        modules.recordFailures(
                endpoints.get(1), 3, NOW); // most endpoints fail, so ejection is suspended
        limiter.updateTotal(NOW);
        assertTrue(limiter.isOpen(endpoints.get(2), 1, NOW));

        // A total of 1/2 is an attempt for half of the time: 80 ms of pause for 80 ms of latency.
        ConcurrencyLimiterTest other = new ConcurrencyLimiterTest();
        Endpoint alone = other.start(16, "a").get(0);
        other.limiter.attemptEnded(alone, NOW);
        assertFalse(other.limiter.isOpen(alone, 1, NOW + 63 * MS));
        assertTrue(other.limiter.isOpen(alone, 1, NOW + 97 * MS));
        alone.update(
                entry(
                        "a",
                        EndpointState.DRAINING,
                        0)); // without a ready endpoint, there is no pause
        other.limiter.attemptEnded(alone, NOW + 200 * MS);
        assertTrue(other.limiter.isOpen(alone, 1, NOW + 200 * MS));
        // In slow start, the endpoint counts for a tenth of 1/2. At the minimum of 1/16, the pause
        // is 15 * 80 ms.
        alone.update(entry("a", EndpointState.READY, NOW + 200 * MS));
        other.limiter.attemptEnded(alone, NOW + 200 * MS);
        assertFalse(other.limiter.isOpen(alone, 1, NOW + 1100 * MS));
        assertTrue(other.limiter.isOpen(alone, 1, NOW + 1700 * MS));
    }
}
