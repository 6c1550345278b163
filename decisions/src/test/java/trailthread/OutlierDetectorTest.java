package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointState;
import trailthread.api.Outcome;

/** The tightest objective is 200 ms and the longest deadline 1 s; delays have 20 percent jitter. */
final class OutlierDetectorTest {
    private final ModuleFixture modules = new ModuleFixture();
    private final OutlierDetector outliers = modules.outliers;
    private final List<Endpoint> endpoints = modules.useSubset(1, "a", "b", "c", "d");
    private final Endpoint endpoint = endpoints.get(0);
    private final Request idempotent = modules.request(0);
    private final Request unsafe = modules.request(2);

    private void assertEjectedFor(long ns, long now) {
        assertFalse(outliers.permits(endpoint, idempotent, now + (long) (0.79 * ns)));
        assertTrue(outliers.permits(endpoint, idempotent, now + (long) (1.21 * ns)));
    }

    /** Ends all attempts, also those that follow at once; returns their endpoints. */
    private static Set<String> endAttempts(ScriptedBalancer s, Outcome outcome) {
        Set<String> sentTo = new HashSet<>();
        for (int i = 0; i < s.sends.size(); i++) {
            ScriptedBalancer.Send sent = s.sends.get(i);
            sentTo.add(sent.endpoint());
            s.balancer.attemptEnded(
                    s.now, sent.id(), sent.attempt(), outcome, 0, outcome == Outcome.OK, null);
        }
        return sentTo;
    }

    /** Guards against requests that fail for good after servers have failed for long. */
    @Test
    void endpointsThatHaveFailedForLongAreSentRequestsAgain() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 1);
        s.endpoints("a", "b");
        for (int i = 0; i < 4_000; i++) {
            s.request("safe");
            endAttempts(s, Outcome.CONNECT_FAILED);
            s.advance(1_100 * MS);
            endAttempts(s, Outcome.CONNECT_FAILED);
            s.sends.clear(); // the request is over
        }
        Set<String> served = new HashSet<>();
        for (int i = 0; i < 1_000; i++) {
            s.request("safe");
            s.advance(100 * MS);
            served.addAll(endAttempts(s, Outcome.OK));
        }
        assertEquals(Set.of("a", "b"), served);
    }

    @Test
    void threeFailuresInARowEjectForAnObjectiveAndEachFurtherOneDoublesIt() {
        modules.recordFailures(endpoint, 2, NOW);
        outliers.recordSuccess(endpoint);
        modules.recordFailures(endpoint, 2, NOW);
        assertTrue(outliers.permits(endpoint, unsafe, NOW));
        modules.recordFailures(endpoint, 1, NOW);
        assertEjectedFor(200 * MS, NOW);
        modules.recordFailures(endpoint, 1, NOW);
        assertEjectedFor(400 * MS, NOW);
        modules.recordFailures(endpoint, 10, NOW);
        assertEjectedFor(32 * 200 * MS, NOW);
    }

    @Test
    void halfOpenEndpointGetsOneIdempotentAttemptAtATime() {
        modules.recordFailures(endpoint, 3, NOW);
        long halfOpen = NOW + 241 * MS;
        assertFalse(outliers.permits(endpoint, unsafe, halfOpen));
        Attempt trial = modules.begin(endpoint, halfOpen);
        assertFalse(outliers.permits(endpoint, idempotent, halfOpen));
        modules.inFlight.attemptEnded(trial, halfOpen);
        outliers.recordSuccess(endpoint);
        assertTrue(outliers.permits(endpoint, unsafe, halfOpen));
    }

    @Test
    void endpointWithALostAttemptGetsOnlyIdempotentOnes() {
        modules.means.recordLatency(20 * MS);
        modules.begin(endpoint, NOW);
        modules.inFlight.releaseLost(NOW + 50 * MS);
        assertFalse(outliers.permits(endpoint, unsafe, NOW + 50 * MS));
        assertTrue(outliers.permits(endpoint, idempotent, NOW + 50 * MS));
    }

    /** The idle latency is 20 ms, so the endpoint is congested above 50 ms. */
    @Test
    void congestedEndpointIsEjectedLongerForEachSlowTrialAndNotOnceItIsFast() {
        modules.recordResponses(endpoint, 50, 20 * MS, NOW);
        modules.recordResponses(endpoint, 60, 45 * MS, NOW);
        assertFalse(outliers.ejectIfCongested(endpoint, NOW));
        modules.recordResponses(endpoint, 60, 60 * MS, NOW);
        long now = NOW;
        for (long ejectedNs : new long[] {1500 * MS, 3000 * MS, 6000 * MS, 6000 * MS}) {
            assertTrue(outliers.ejectIfCongested(endpoint, now));
            assertFalse(outliers.ejectIfCongested(endpoint, now)); // already ejected
            assertEjectedFor(ejectedNs, now);
            now += 2 * ejectedNs;
            modules.recordResponses(endpoint, 1, 400 * MS, now);
        }
        modules.recordResponses(endpoint, 40, 20 * MS, now);
        assertFalse(outliers.ejectIfCongested(endpoint, now));
        assertTrue(outliers.permits(endpoint, unsafe, now));
    }

    @Test
    void nodeThatIsCutOffEjectsNone() {
        modules.recordFailures(endpoints.get(0), 3, NOW);
        modules.recordFailures(endpoints.get(1), 3, NOW);
        assertFalse(outliers.logIfEjectionSuspended(NOW));
        assertEquals(2, outliers.countAvoided(endpoints, NOW));
        assertEquals(0, outliers.countAvoided(endpoints, NOW + 241 * MS));
        // A third endpoint, which is congested, is not ejected, as more than half would be ejected
        // then.
        modules.recordResponses(endpoints.get(2), 50, 20 * MS, NOW);
        modules.recordResponses(endpoints.get(2), 30, 400 * MS, NOW);
        assertFalse(outliers.ejectIfCongested(endpoints.get(2), NOW));
        modules.recordFailures(endpoints.get(2), 3, NOW);
        assertTrue(outliers.logIfEjectionSuspended(NOW));
        assertEquals(
                "ejecting none: most of 4 backends fail; is this node cut off?",
                modules.recorder.log.get(1));
        endpoints.get(3).update(entry("d", EndpointState.DRAINING, 0));
        assertEquals(1, outliers.countAvoided(endpoints, NOW));
    }
}
