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

    /** Adds a class whose deduplication window of 400 ms is shared by all endpoints. */
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

    private Request requestAfter(String requestClass, Outcome outcome) {
        Request request = modules.request(requestClass);
        modules.attempt(request, a, outcome, NOW);
        return request;
    }

    @Test
    void aRequestThatMayHaveRunIsRetriedOnlyIfThatIsHarmless() {
        assertTrue(modules.retries.permitsAttempt(requestAfter("safe", Outcome.RESET), NOW));
        assertTrue(modules.retries.permitsAttempt(requestAfter("unsafe", Outcome.REJECTED), NOW));
        assertFalse(modules.retries.permitsAttempt(requestAfter("unsafe", Outcome.RESET), NOW));
        Request keyed = requestAfter("shared", Outcome.RESET);
        long lastConnect = NOW + 300 * MS; // the window less the connect timeout
        assertTrue(modules.retries.permitsAttempt(keyed, lastConnect - 1));
        assertFalse(modules.retries.permitsAttempt(keyed, lastConnect));
        assertEquals(NOW + 400 * MS, modules.retries.writeDeadline(keyed));
    }

    @Test
    void attemptsAreLimitedInNumberAndByTheDeadline() {
        Request request = requestAfter("safe", Outcome.REJECTED);
        modules.attempt(request, a, Outcome.REJECTED, NOW);
        assertTrue(modules.retries.permitsAttempt(request, NOW + 1000 * MS - 1));
        assertFalse(modules.retries.permitsAttempt(request, NOW + 1000 * MS));
        modules.attempt(request, a, Outcome.REJECTED, NOW);
        assertFalse(modules.retries.permitsAttempt(request, NOW));
    }

    @Test
    void onlyRetriesOfRequestsThatMayHaveRunArePaidFromTheBudget() {
        for (int i = 0; i < 20; i++) {
            assertTrue(modules.retries.acquireRetry(requestAfter("safe", Outcome.REJECTED), NOW));
            assertTrue(modules.retries.acquireRetry(requestAfter("safe", Outcome.ERROR), NOW));
        }
        assertFalse(modules.retries.acquireRetry(requestAfter("safe", Outcome.ERROR), NOW));
        assertTrue(modules.retries.acquireRetry(requestAfter("safe", Outcome.REJECTED), NOW));
    }

    /** The timeout is five latencies of 20 ms, if two more are left for a retry. */
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

    /** After a rejection the client may send the request again, to any endpoint. */
    @Test
    void aRequestThatMayHaveRunIsRejectedOnlyIfItsClientMaySendItAgain() {
        assertTrue(RetryPolicy.mayReject(requestAfter("safe", Outcome.ERROR)));
        assertTrue(RetryPolicy.mayReject(requestAfter("shared", Outcome.ERROR)));
        assertFalse(RetryPolicy.mayReject(requestAfter("keyed", Outcome.ERROR)));
        assertFalse(RetryPolicy.mayReject(requestAfter("unsafe", Outcome.ERROR)));
        assertTrue(RetryPolicy.mayReject(requestAfter("unsafe", Outcome.CONNECT_FAILED)));
    }
}
