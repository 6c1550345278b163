package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** The rules for queueing, retries, attempts in flight and endpoints that leave, one by one. */
class BalancerRulesTest {
    private static final long MS = ScriptedBalancer.MS;
    private final ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 1);

    private static EndpointEntry inCell(String name, int cell) {
        return new EndpointEntry(name, 1, EndpointState.READY, "here", 0, cell);
    }

    @Test
    void aRequestWithoutAnEndpointIsQueuedThenRejectedInTime() {
        s.endpoints();
        long id = s.request("safe");
        s.advance(900 * MS);
        assertTrue(s.sends.isEmpty());
        s.advance(100 * MS);
        assertEquals(List.of(id), s.rejected);
        s.advance(2000 * MS);
        assertEquals(1, s.rejected.size() + s.failed.size());
    }

    @Test
    void aQueuedRequestIsSentWhenAnEndpointAppears() {
        s.endpoints();
        long id = s.request("unsafe");
        s.advance(50 * MS);
        s.endpoints("a");
        assertEquals("a", s.sendsOf(id).get(0).endpoint());
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunFailsAndIsNeitherRetriedNorRejected() {
        s.endpoints("a", "b");
        for (Outcome o : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)) {
            long id = s.request("unsafe");
            s.end(id, o);
            s.advance(1500 * MS);
            assertEquals(1, s.sendsOf(id).size());
            assertTrue(s.failed.contains(id));
        }
        assertTrue(s.rejected.isEmpty());
    }

    @Test
    void aNonIdempotentRequestThatNeverRanIsRetriedAtAnotherEndpoint() {
        s.endpoints("a", "b");
        long id = s.request("unsafe");
        s.end(id, Outcome.REJECTED);
        assertEquals(2, s.sendsOf(id).size());
        assertNotEquals(s.sendsOf(id).get(0).endpoint(), s.sendsOf(id).get(1).endpoint());
    }

    @Test
    void aNonIdempotentRequestInFlightAtItsDeadlineFails() {
        s.endpoints("a");
        long id = s.request("unsafe");
        s.advance(1100 * MS);
        assertEquals(List.of(id), s.failed);
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsDeduplicationCell() {
        for (int seed = 0; seed < 30; seed++) {
            ScriptedBalancer t = new ScriptedBalancer(ScriptedBalancer.settings(), seed);
            t.balancer.updateEndpointList(
                    t.now,
                    ListKind.FULL,
                    List.of(inCell("a1", 1), inCell("a2", 1), inCell("b1", 2), inCell("b2", 2)));
            long id = t.request("keyed");
            t.end(id, Outcome.ERROR);
            assertEquals(2, t.sendsOf(id).size());
            assertEquals(
                    t.sendsOf(id).get(0).endpoint().charAt(0),
                    t.sendsOf(id).get(1).endpoint().charAt(0));
        }
    }

    @Test
    void aKeyedRequestIsNotRetriedPastItsDeduplicationWindow() {
        Settings settings = ScriptedBalancer.settings();
        settings.classes.add(
                new RequestClass(
                        "brief",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.ALL,
                        300 * MS,
                        1,
                        0.2));
        ScriptedBalancer t = new ScriptedBalancer(settings, 1);
        t.endpoints("a", "b");
        long early = t.request("brief");
        t.advance(50 * MS);
        t.end(early, Outcome.ERROR);
        assertEquals(2, t.sendsOf(early).size());
        t.end(early, Outcome.OK);
        long late = t.request("brief");
        t.advance(290 * MS);
        t.end(late, Outcome.ERROR);
        t.advance(1000 * MS);
        assertEquals(1, t.sendsOf(late).size());
    }

    @Test
    void retriesOfRequestsThatMayHaveRunStayWithinTheBudget() {
        s.endpoints("a", "b", "c");
        int sends = 0;
        for (int i = 0; i < 200; i++) {
            long id = s.request("safe");
            for (int k = 0; k < 3 && s.sendsOf(id).size() > k; k++) {
                s.end(id, Outcome.ERROR);
            }
            sends += s.sendsOf(id).size();
            s.advance(1100 * MS);
        }
        assertTrue(sends <= 200 * 1.2 + 25, "sends of 200 failing requests: " + sends);
    }

    @Test
    void aRequestHasNoMoreThanTheMaximumOfAttempts() {
        s.endpoints("a", "b", "c", "d", "e", "f");
        long id = s.request("safe");
        for (int k = 0; k < 6 && s.sendsOf(id).size() > k; k++) {
            s.end(id, Outcome.REJECTED);
            s.advance(100 * MS);
        }
        assertEquals(3, s.sendsOf(id).size());
        assertEquals(1, s.rejected.size() + s.failed.size());
    }

    @Test
    void aRequestOfADisconnectedClientIsNotAnswered() {
        s.endpoints("a", "b");
        long id = s.request("safe");
        s.balancer.clientDisconnected(s.now, id);
        s.end(id, Outcome.ERROR);
        s.advance(2000 * MS);
        assertEquals(1, s.sendsOf(id).size());
        assertTrue(s.rejected.isEmpty() && s.failed.isEmpty());
    }

    @Test
    void aStreamedResponseHasNoDeadlineAndIsNotRetried() {
        s.endpoints("a", "b");
        long id = s.request("safe");
        s.balancer.firstByteReceived(s.now, id, 0);
        s.advance(3000 * MS);
        assertTrue(s.rejected.isEmpty() && s.failed.isEmpty());
        s.balancer.attemptEnded(s.now, id, 0, Outcome.RESET, 3000 * MS, true, null);
        assertEquals(1, s.sendsOf(id).size());
    }

    @Test
    void aResponseThatHasBegunMayOutlastTheDeadline() {
        s.endpoints("a", "b");
        long id = s.request("unsafe");
        long heldUntil = s.now + 1450 * MS;
        s.balancer.responseBegan(s.now, id, 0, heldUntil);
        s.advance(1440 * MS);
        assertTrue(s.rejected.isEmpty() && s.failed.isEmpty());
        s.advance(10 * MS);
        assertEquals(List.of(id), s.failed);
        assertEquals(1, s.sendsOf(id).size());
    }

    @Test
    void requestsWhoseBodiesAreStreamedDoNotFillAnEndpoint() {
        s.endpoints("a");
        for (int i = 0; i < 50; i++) {
            long upload = s.request("unsafe");
            s.balancer.bodyStreamed(s.now, upload, 0);
            assertEquals(1, s.sendsOf(upload).size());
        }
        assertEquals(1, s.sendsOf(s.request("unsafe")).size());
    }

    @Test
    void loadReportsThatAreNotFiniteOrNegativeAreIgnored() {
        s.endpoints("a", "b");
        for (double queue : new double[] {Double.NaN, -5, Double.POSITIVE_INFINITY}) {
            long id = s.request("safe");
            s.advance(20 * MS);
            s.end(id, Outcome.OK, ScriptedBalancer.queueReport(queue));
        }
        long id = s.request("safe");
        assertEquals(1, s.sendsOf(id).size());
    }

    @Test
    void aDrainingEndpointGetsNoMoreRequests() {
        s.endpoints("a", "b");
        s.delta(new EndpointEntry("a", 1, EndpointState.DRAINING, "here", 0, 0));
        for (int i = 0; i < 50; i++) {
            long id = s.request("safe");
            assertEquals("b", s.sendsOf(id).get(0).endpoint());
            s.end(id, Outcome.OK);
        }
    }

    @Test
    void anEndpointMissingFromAFullListGetsNoMoreRequests() {
        s.endpoints("a", "b");
        s.endpoints("b");
        for (int i = 0; i < 20; i++) {
            long id = s.request("safe");
            assertEquals("b", s.sendsOf(id).get(0).endpoint());
            s.end(id, Outcome.OK);
        }
    }

    /** With no latency known, all nodes together send about one request in a mean objective. */
    @Test
    void manyNodesTogetherSendLittleToAnEndpointInSlowStart() {
        int sent = 0;
        for (int node = 0; node < 40; node++) {
            Settings settings = ScriptedBalancer.settings();
            settings.nodes = 40;
            settings.nodeIndex = node;
            ScriptedBalancer n = new ScriptedBalancer(settings, node);
            n.delta(new EndpointEntry("a", 1, EndpointState.READY, "here", n.now, 0));
            for (int i = 0; i < 20; i++) { // each node has more than enough to send
                n.request("safe");
                n.advance(100 * MS);
                for (ScriptedBalancer.Send send : List.copyOf(n.sends)) {
                    if (n.sendsOf(send.id()).size() == 1 && send.at() + 100 * MS >= n.now) {
                        n.end(send.id(), Outcome.OK);
                    }
                }
            }
            sent += n.sends.size();
        }
        assertTrue(sent >= 5 && sent <= 60, "by 40 nodes in ten objectives: " + sent);
    }

    @Test
    void invalidSettingsAreRejectedByName() {
        Settings none = new Settings();
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> new Balancer(none, 1, 0, s));
        assertTrue(e.getMessage().contains("classes"));
        assertThrows(IllegalArgumentException.class, () -> s.request("unheard-of"));
    }
}
