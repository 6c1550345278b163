package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** The order in which queued requests are sent, and which are removed unsent. */
class RequestQueueTest {
    private final WiredModules modules = new WiredModules(settings());
    private final FairShare fairShare = new FairShare();
    private final PriorityPolicy priorities =
            new PriorityPolicy(modules.settings, modules.means, fairShare, NOW);
    private final List<Request> tried = new ArrayList<>();
    private final List<Request> sent = new ArrayList<>();
    private final Set<Request> blocked = new HashSet<>();
    private final Set<Request> late = new HashSet<>();
    private int maxSends = Integer.MAX_VALUE;
    private final RequestQueue queue =
            new RequestQueue(
                    modules.settings,
                    priorities,
                    modules.actions,
                    modules.random,
                    this::send,
                    (request, now) -> late.contains(request));

    RequestQueueTest() {
        fairShare.applySettings(modules.settings, NOW);
    }

    /** Adds a class with ten times the priority weight of the others. */
    private static Settings settings() {
        Settings settings = ScriptedBalancer.settings();
        settings.classes.add(
                new RequestClass(
                        "heavy",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        10,
                        0.2));
        return settings;
    }

    private boolean send(Request request, long now) {
        tried.add(request);
        return !blocked.contains(request) && sent.size() < maxSends && sent.add(request);
    }

    private Request add(String requestClass, Outcome firstAttempt) {
        RequestClassStats stats = fairShare.requestClass(requestClass);
        Request request = modules.request(stats, null, 0, NOW + 1000 * MS);
        priorities.recordArrival(request, NOW);
        if (firstAttempt != null) {
            modules.attempt(request, WiredModules.endpoint("a", 0), firstAttempt, NOW);
        }
        queue.add(request);
        return request;
    }

    @Test
    void theLaneThatAddsMostIsServedFirstAndItsNewestRequestFirst() {
        Request oldHeavy = add("heavy", null);
        Request newHeavy = add("heavy", null);
        Request oldSafe = add("safe", null);
        Request newSafe = add("safe", null);
        queue.release(NOW);
        assertEquals(List.of(newHeavy, oldHeavy, newSafe, oldSafe), sent);
        assertTrue(queue.isEmpty());
    }

    /**
     * All endpoints that share a deduplication window with a retry may be closed while others are
     * open to first attempts.
     */
    @Test
    void aRetryThatNoEndpointIsOpenToDoesNotBlockFirstAttempts() {
        Request retry = add("heavy", Outcome.ERROR);
        Request first = add("safe", null);
        blocked.add(retry);
        queue.release(NOW);
        assertEquals(List.of(first), sent);
        assertEquals(1, queue.size());
    }

    @Test
    void theReleaseEndsAtAnIdempotentFirstAttemptThatNoEndpointIsOpenTo() {
        add("safe", null);
        Request heavy = add("heavy", null);
        maxSends = 0;
        queue.release(NOW);
        assertEquals(List.of(heavy), tried);
        assertEquals(2, queue.size());
    }

    @Test
    void finishedAndLateRequestsLeaveTheQueueUnsent() {
        Request finished = add("safe", null);
        Request open = add("safe", null);
        finished.finished = true;
        late.add(add("safe", null));
        queue.release(NOW);
        assertEquals(List.of(open), tried);
        assertTrue(queue.isEmpty());
    }

    /** The delay is a twentieth of the objective of 200 ms, up to a fifth shorter or longer. */
    @Test
    void oneTimerAtATimeReleasesQueuedRequests() {
        add("safe", null);
        add("safe", null);
        List<ScriptedBalancer.Timer> timers = modules.actions.timers;
        assertEquals(1, timers.size());
        long delayNs = timers.get(0).at() - modules.actions.now;
        assertTrue(delayNs >= 8 * MS && delayNs <= 12 * MS, "delay " + delayNs);
        maxSends = 1;
        queue.timerDue(NOW + delayNs);
        assertEquals(1, sent.size());
        assertEquals(2, timers.size(), "a timer for the remaining request");
    }
}
