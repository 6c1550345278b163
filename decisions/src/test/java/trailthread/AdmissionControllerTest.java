package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** Objectives are 200 ms, deadlines 1,000 ms, the mean latency is 100 ms. */
class AdmissionControllerTest {
    private final WiredModules modules = new WiredModules(settings());
    private final AdmissionController admissions = modules.admissions;

    AdmissionControllerTest() {
        modules.means.recordLatency(100 * MS);
    }

    /** Adds a class whose late responses earn no weight. */
    private static Settings settings() {
        Settings settings = ScriptedBalancer.settings();
        settings.classes.add(
                new RequestClass(
                        "prompt",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.CELL,
                        300 * MS,
                        1,
                        0));
        return settings;
    }

    @Test
    void aRequestIsSendableUntilHalfALatencyBeforeItsResponseEarnsNothing() {
        assertEquals(NOW + 950 * MS, admissions.sendableUntil(modules.request("safe"), NOW));
        Request prompt = modules.request("prompt");
        assertFalse(admissions.isTooLate(prompt, NOW + 150 * MS - 1));
        assertTrue(admissions.isTooLate(prompt, NOW + 150 * MS));
    }

    @Test
    void aRequestWithAnAttemptInFlightHasItsWholeDeadline() {
        Request prompt = modules.request("prompt");
        modules.attempt(prompt, WiredModules.endpoint("a", 0), null, NOW);
        assertEquals(NOW + 1000 * MS, admissions.sendableUntil(prompt, NOW));
    }

    /** The deduplication window of 300 ms less the connect timeout of 200 ms. */
    @Test
    void aRequestThatMayHaveRunIsSendableWithinItsDeduplicationWindow() {
        Request prompt = modules.request("prompt");
        modules.attempt(prompt, WiredModules.endpoint("a", 0), Outcome.ERROR, NOW);
        assertEquals(NOW + 100 * MS, admissions.sendableUntil(prompt, NOW));
    }

    @Test
    void withoutAListLeaseRequestsWaitForAQuarterOfTheTimeToTheirDeadline() {
        admissions.setListLeaseEnd(NOW);
        assertFalse(admissions.hasListLease(NOW));
        assertEquals(NOW + 250 * MS, admissions.sendableUntil(modules.request("safe"), NOW));
        admissions.setListLeaseEnd(NOW + 1);
        assertTrue(admissions.hasListLease(NOW));
        assertEquals(NOW + 950 * MS, admissions.sendableUntil(modules.request("safe"), NOW));
    }

    @Test
    void theHostAdmitsByClassAndQuota() {
        admissions.setAdmission((name, overQuota, random) -> name.equals("safe") && !overQuota);
        Request request = modules.request("safe");
        assertTrue(admissions.admits(request));
        assertFalse(admissions.admits(modules.request("unsafe")));
        request.overQuota = true;
        assertFalse(admissions.admits(request));
    }
}
