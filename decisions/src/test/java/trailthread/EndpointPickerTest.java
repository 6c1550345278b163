package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Outcome;

/** Which endpoints are eligible for a request's next attempt. */
class EndpointPickerTest {
    private final WiredModules modules = new WiredModules();
    private final Endpoint a = WiredModules.endpoint("a", 1);
    private final Endpoint b = WiredModules.endpoint("b", 2);
    private final Endpoint c = WiredModules.endpoint("c", 1);

    private Endpoint pick(Request request, long now) {
        return modules.picker.pick(request, false, now);
    }

    @Test
    void noneIsPickedWithLessThanHalfAMeanLatencyLeft() {
        modules.useSubset(1, a);
        modules.means.recordLatency(100 * MS);
        assertNull(pick(modules.request("safe", 0, NOW + 49 * MS), NOW));
        assertEquals(a, pick(modules.request("safe", 0, NOW + 50 * MS), NOW));
    }

    @Test
    void aDrainingEndpointIsNotPicked() {
        a.update(new EndpointEntry("a", 1, EndpointState.DRAINING, "here", 0, 1));
        modules.useSubset(1, a, b);
        for (int i = 0; i < 20; i++) {
            assertEquals(b, pick(modules.request("safe"), NOW));
        }
    }

    /** An eighth of the tightest objective of 200 ms. */
    @Test
    void theSameEndpointIsPickedAgainOnlyAfterAnEighthOfTheObjective() {
        modules.useSubset(1, a);
        Request request = modules.request("safe");
        modules.attempt(request, a, Outcome.REJECTED, NOW);
        assertNull(pick(request, NOW + 25 * MS));
        assertEquals(a, pick(request, NOW + 25 * MS + 1));
    }

    @Test
    void anEjectedEndpointIsPickedOnlyWhileEjectionIsSuspended() {
        modules.useSubset(1, a);
        for (int i = 0; i < 3; i++) {
            modules.outliers.recordFailure(a);
        }
        modules.outliers.ejectIfFailing(a, NOW);
        Request request = modules.request("safe");
        assertNull(pick(request, NOW));
        assertEquals(a, modules.picker.pick(request, true, NOW));
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsDeduplicationCell() {
        modules.useSubset(1, a, b, c);
        for (int i = 0; i < 20; i++) {
            Request request = modules.request("keyed");
            modules.attempt(request, a, Outcome.ERROR, NOW);
            assertEquals(c, pick(request, NOW + MS));
        }
    }
}
