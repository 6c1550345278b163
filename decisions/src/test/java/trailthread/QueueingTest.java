package trailthread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.List;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * A queued request gets its final answer as soon as sending it can no longer earn weight, not at
 * its deadline.
 */
public class QueueingTest {
    private final ScriptedBalancer s;

    public QueueingTest() {
        Settings settings = new Settings();
        settings.retryAfter = true;
        settings.maxRetryAfterNs = 500 * MS;
        settings.connectTimeoutNs = 100 * MS;
        settings.classes.add(
                new RequestClass(
                        "unsafe",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        settings.classes.add(
                new RequestClass(
                        "keyed",
                        800 * MS,
                        0,
                        1000 * MS,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.CELL,
                        300 * MS,
                        1,
                        0));
        s = new ScriptedBalancer(settings, 7);
    }

    @Test
    public void aQueuedRequestIsRejectedWithRetryAfterAtItsLatencyObjective() {
        s.endpoints();
        long id = s.request("unsafe");
        s.advance(199 * MS);
        assertTrue("a response may still earn weight", s.rejected.isEmpty());
        s.advance(MS);
        assertEquals(List.of(id), s.rejected);
        assertTrue(s.lastRetryAfterNs > 0);
    }

    @Test
    public void aRequestRejectedByItsEndpointAfterTheObjectiveIsAnsweredAtOnce() {
        s.endpoints("a");
        long id = s.request("unsafe");
        s.advance(250 * MS);
        s.endpoints();
        s.end(id, Outcome.REJECTED);
        assertEquals(List.of(id), s.rejected);
    }

    /** Prevents a node without ready endpoints from pausing for many latencies. */
    @Test
    public void aQueuedRetryIsSentAsSoonAsAnEndpointIsReady() {
        s.endpoints("a");
        long id = s.request("keyed");
        s.endpoints();
        s.end(id, Outcome.REJECTED);
        s.advance(10 * MS);
        s.endpoints("b");
        assertEquals("b", s.sendsOf(id).get(1).endpoint());
    }

    @Test
    public void aQueuedRetryFailsAtTheEndOfTheDeduplicationWindow() {
        s.endpoints("a");
        long id = s.request("keyed");
        s.endpoints();
        s.end(id, Outcome.ERROR);
        s.advance(199 * MS);
        assertTrue("an endpoint of its cell may still come", s.failed.isEmpty());
        s.advance(MS);
        assertEquals("it may have run, so it is not refused", List.of(id), s.failed);
    }

    /**
     * An idle latency of 95 ms exceeds the target of 0.4 objectives (80 ms) without any overload.
     */
    @Test
    public void requestsToDistantEndpointsAreNotQueued() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 7);
        s.endpoints("a", "b");
        int ended = 0;
        for (int step = 0; step < 4000; step++) {
            if (step % 8 == 0) {
                s.request("safe");
            }
            s.advance(5 * MS);
            while (ended < s.sends.size() && s.sends.get(ended).at() <= s.now - 95 * MS) {
                s.end(s.sends.get(ended++).id(), Outcome.OK);
            }
        }
        assertTrue("refused of 500, at the start: " + s.rejected.size(), s.rejected.size() < 25);
    }
}
