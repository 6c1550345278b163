package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** A request with its attempts; the window of the class "keyed" is 2,000 ms, by cell. */
class RequestTest {
    private final WiredModules modules = new WiredModules(settings());
    private final Endpoint a = WiredModules.endpoint("a", 1);

    /** Adds a class whose objective grows by twice the work. */
    private static Settings settings() {
        Settings settings = ScriptedBalancer.settings();
        settings.classes.add(
                new RequestClass(
                        "scaled",
                        200 * MS,
                        2,
                        1000 * MS,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        return settings;
    }

    @Test
    void theObjectiveGrowsWithTheWorkUpToTheDeadline() {
        long deadline = NOW + 1000 * MS;
        assertEquals(NOW + 300 * MS, modules.request("scaled", 50 * MS, deadline).objectiveAt);
        assertEquals(deadline, modules.request("scaled", 500 * MS, deadline).objectiveAt);
    }

    /** An attempt that was rejected did not run, so the window starts with the next one. */
    @Test
    void theDeduplicationWindowStartsWithTheFirstAttemptThatMayHaveRun() {
        Request request = modules.request("keyed");
        assertEquals(Long.MAX_VALUE, request.retryableUntil());
        modules.attempt(request, a, Outcome.REJECTED, NOW);
        assertEquals(Long.MAX_VALUE, request.retryableUntil());
        modules.attempt(request, a, null, NOW + 10 * MS);
        modules.attempt(request, a, Outcome.ERROR, NOW + 20 * MS);
        assertEquals(NOW + 2010 * MS, request.retryableUntil());
    }

    @Test
    void aKeyedRequestThatMayHaveRunIsDeduplicatedInItsCellOnly() {
        Endpoint sameCell = WiredModules.endpoint("b", 1);
        Endpoint otherCell = WiredModules.endpoint("c", 2);
        Request request = modules.request("keyed");
        modules.attempt(request, otherCell, Outcome.REJECTED, NOW);
        assertTrue(request.isDeduplicatedAt(a) && request.isDeduplicatedAt(otherCell));
        modules.attempt(request, a, Outcome.ERROR, NOW);
        assertTrue(request.isDeduplicatedAt(a) && request.isDeduplicatedAt(sameCell));
        assertFalse(request.isDeduplicatedAt(otherCell));
    }

    /** Guards against a new process, in another cell, at the address of one that has ended. */
    @Test
    void aKeyedRequestIsNotSentAgainToAnEndpointWhoseConnectionBroke() {
        Endpoint sameCell = WiredModules.endpoint("b", 1);
        Endpoint otherCell = WiredModules.endpoint("c", 2);
        Request request = modules.request("keyed");
        modules.attempt(request, a, Outcome.RESET, NOW);
        assertFalse(request.isDeduplicatedAt(a));
        assertTrue(request.isDeduplicatedAt(sameCell));
        assertFalse(request.isDeduplicatedAt(otherCell));
        modules.attempt(request, sameCell, Outcome.TIMEOUT, NOW);
        assertTrue(request.isDeduplicatedAt(sameCell));
        assertFalse(request.isDeduplicatedAt(a));
    }

    @Test
    void endpointsWithoutACellShareNoDeduplicationWindow() {
        Endpoint first = WiredModules.endpoint("d", -1);
        Endpoint other = WiredModules.endpoint("e", -1);
        Request request = modules.request("keyed");
        modules.attempt(request, first, Outcome.ERROR, NOW);
        assertTrue(request.isDeduplicatedAt(first));
        assertFalse(request.isDeduplicatedAt(other));
    }

    @Test
    void anAttemptThatHasEndedIsNotInFlight() {
        Request request = modules.request("safe");
        modules.attempt(request, a, Outcome.ERROR, NOW);
        Attempt second = modules.attempt(request, a, null, NOW);
        assertNull(request.inFlightAttempt(0));
        assertEquals(second, request.inFlightAttempt(1));
        assertNull(request.inFlightAttempt(2));
        assertEquals(1, request.inFlight());
    }
}
