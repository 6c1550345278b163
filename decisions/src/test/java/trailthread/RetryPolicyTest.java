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

/** Whether a request is retried, when an attempt times out, and which final answer it gets. */
class RetryPolicyTest {
    private final WiredModules modules = new WiredModules(settings());
    private final Endpoint a = WiredModules.endpoint("a", 0);

    /** With a class of a deduplication window of 400 ms that all endpoints share. */
    private static Settings settings() {
        Settings settings = ScriptedBalancer.settings();
        settings.connectTimeoutNs = 100 * MS;
        settings.classes.add(
                new RequestClass(
                        "shared",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.ALL,
                        400 * MS,
                        1,
                        0.2));
        return settings;
    }

    private Request after(String requestClass, Outcome outcome) {
        Request request = modules.request(requestClass);
        modules.attempt(request, a, outcome, NOW);
        return request;
    }

    @Test
    void whatMayHaveRunIsRetriedOnlyIfThatIsHarmless() {
        assertTrue(modules.retries.permitsAttempt(after("safe", Outcome.RESET), NOW));
        assertTrue(modules.retries.permitsAttempt(after("unsafe", Outcome.REJECTED), NOW));
        assertFalse(modules.retries.permitsAttempt(after("unsafe", Outcome.RESET), NOW));
        Request keyed = after("shared", Outcome.RESET);
        long lastConnect = NOW + 300 * MS; // the window without the connect time-out
        assertTrue(modules.retries.permitsAttempt(keyed, lastConnect - 1));
        assertFalse(modules.retries.permitsAttempt(keyed, lastConnect));
        assertEquals(NOW + 400 * MS, modules.retries.writeDeadline(keyed));
    }

    @Test
    void attemptsEndAtTheirNumberAndAtTheDeadline() {
        Request request = after("safe", Outcome.REJECTED);
        modules.attempt(request, a, Outcome.REJECTED, NOW);
        assertTrue(modules.retries.permitsAttempt(request, NOW + 1000 * MS - 1));
        assertFalse(modules.retries.permitsAttempt(request, NOW + 1000 * MS));
        modules.attempt(request, a, Outcome.REJECTED, NOW);
        assertFalse(modules.retries.permitsAttempt(request, NOW));
    }

    @Test
    void onlyRetriesOfWhatMayHaveRunArePaidFromTheBudget() {
        for (int i = 0; i < 20; i++) {
            assertTrue(modules.retries.acquireRetry(after("safe", Outcome.REJECTED), NOW));
            assertTrue(modules.retries.acquireRetry(after("safe", Outcome.ERROR), NOW));
        }
        assertFalse(modules.retries.acquireRetry(after("safe", Outcome.ERROR), NOW));
        assertTrue(modules.retries.acquireRetry(after("safe", Outcome.REJECTED), NOW));
    }

    /** Five latencies of 20 ms, if two more are left after that; else a retry would be in vain. */
    @Test
    void anIdempotentAttemptTimesOutInTimeForARetry() {
        modules.means.recordLatency(20 * MS);
        modules.means.recordWork(10 * MS);
        Request enough = modules.request("safe", 0, NOW + 141 * MS);
        Request tooLittle = modules.request("safe", 0, NOW + 140 * MS);
        Request twiceTheWork = modules.request("safe", 20 * MS, NOW + 1000 * MS);
        assertEquals(100 * MS, modules.retries.timeoutNs(enough, a, NOW));
        assertEquals(0, modules.retries.timeoutNs(tooLittle, a, NOW));
        assertEquals(200 * MS, modules.retries.timeoutNs(twiceTheWork, a, NOW));
        assertEquals(0, modules.retries.timeoutNs(modules.request("unsafe"), a, NOW));
    }

    /** After a refusal the client may send the request again, to any endpoint. */
    @Test
    void whatMayHaveRunIsRefusedOnlyIfClientsMaySendItAgain() {
        assertTrue(RetryPolicy.mayRefuse(after("safe", Outcome.ERROR)));
        assertTrue(RetryPolicy.mayRefuse(after("shared", Outcome.ERROR)));
        assertFalse(RetryPolicy.mayRefuse(after("keyed", Outcome.ERROR)));
        assertFalse(RetryPolicy.mayRefuse(after("unsafe", Outcome.ERROR)));
        assertTrue(RetryPolicy.mayRefuse(after("unsafe", Outcome.CONNECT_FAILED)));
    }
}
