package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static trailthread.ModuleFixture.MS;
import static trailthread.ModuleFixture.NOW;
import static trailthread.ModuleFixture.SECOND;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import trailthread.api.Outcome;

/**
 * The usual latency is 20 ms: an attempt is presumed lost after 50 ms, or after 100 ms if it was
 * overtaken.
 */
final class InFlightTrackerTest {
    private final ModuleFixture modules = new ModuleFixture();
    private final InFlightTracker inFlight = modules.inFlight;
    private final Endpoint endpoint = ModuleFixture.endpoint("a");

    @BeforeEach
    void recordUsualLatency() {
        modules.means.recordLatency(20 * MS);
    }

    private void assertCounts(int counted, int presumedLost, long now) {
        inFlight.releaseLost(now);
        assertEquals(counted, endpoint.inFlight.count());
        assertEquals(counted, inFlight.total());
        assertEquals(presumedLost, endpoint.inFlight.presumedLost());
    }

    @Test
    void attemptIsPresumedLostAfterATimeThatDoublesForEachOneBeforeIt() {
        long now = NOW;
        int lost = 0;
        for (long multiple : new long[] {1, 2, 4, 8, 16, 32, 32}) {
            modules.begin(endpoint, now);
            assertCounts(1, lost, now + multiple * 50 * MS - 1);
            now += multiple * 50 * MS;
            lost++;
            assertCounts(0, lost, now);
        }
        Attempt answered = modules.begin(endpoint, now);
        answered.outcome = Outcome.OK;
        inFlight.attemptEnded(answered, now + 20 * MS);
        inFlight.recordResponse(answered);
        assertCounts(0, 0, now + 20 * MS);
    }

    @Test
    void overtakenAttemptHasMoreTimeAndIsNotCountedAsPresumedLost() {
        modules.begin(endpoint, NOW);
        Attempt later = modules.begin(endpoint, NOW + MS);
        later.outcome = Outcome.OK;
        inFlight.attemptEnded(later, NOW + 20 * MS);
        inFlight.recordResponse(later);
        assertCounts(1, 0, NOW + 100 * MS - 1);
        assertCounts(0, 0, NOW + 100 * MS);
    }

    @Test
    void attemptThatEndsAfterItWasPresumedLostIsSubtractedOnce() {
        endpoint.load.record(ScriptedBalancer.queueReport(0), NOW);
        Attempt lost = modules.begin(endpoint, NOW);
        Attempt streaming = modules.begin(endpoint, NOW + 49 * MS);
        assertCounts(1, 1, NOW + 50 * MS);
        inFlight.attemptEnded(lost, NOW + 60 * MS);
        assertCounts(1, 0, NOW + 60 * MS);
        inFlight.release(streaming);
        inFlight.attemptEnded(streaming, NOW + 70 * MS);
        assertCounts(0, 0, NOW + 70 * MS);
        assertEquals(0, endpoint.load.requests(0));
    }

    @Test
    void noAttemptIsPresumedLostWhileNoLatencyIsKnown() {
        InFlightTracker fresh = new InFlightTracker(modules.active, new WorkloadMeans(200 * MS));
        fresh.addAttempt(modules.request(0), endpoint, NOW);
        fresh.releaseLost(NOW + 1000 * SECOND);
        assertEquals(1, fresh.total());
    }
}
