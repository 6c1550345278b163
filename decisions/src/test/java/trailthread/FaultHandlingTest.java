package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Outcome;
import trailthread.api.Settings;
import trailthread.api.Tenant;

/** Faults and overload: one test for each protection that no other test class covers. */
final class FaultHandlingTest {
    private static String endpointOf(ScriptedBalancer s, long id) {
        return s.sendsOf(id).get(0).endpoint();
    }

    /** Sends one request after another; returns how many went to "a". */
    private static int serve(ScriptedBalancer s, int requests, long latency) {
        int toA = 0;
        for (int i = 0; i < requests; i++) {
            long id = s.request("safe");
            for (int k = 0; k < 900 && s.sendsOf(id).isEmpty(); k++) {
                s.advance(MS);
            }
            if (s.sendsOf(id).isEmpty()) {
                s.advance(200 * MS);
                continue;
            }
            toA += endpointOf(s, id).equals("a") ? 1 : 0;
            s.advance(latency);
            s.end(id, Outcome.OK);
        }
        return toA;
    }

    @Test
    void theNewestQueuedRequestGoesFirst() {
        Settings settings = ScriptedBalancer.settings();
        settings.nodes = 4; // the initial limit of this node is one attempt
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints();
        long oldest = s.request("safe");
        s.advance(50 * MS);
        long newest = s.request("safe");
        s.delta(ScriptedBalancer.ready("a"));
        assertEquals(1, s.sendsOf(newest).size());
        assertEquals(0, s.sendsOf(oldest).size());
    }

    @Test
    void requestsOverQuotaWaitBehindThoseWithinIt() {
        Settings settings = ScriptedBalancer.settings();
        settings.nodes = 4;
        settings.overQuotaWeight = 0.1;
        settings.tenants.add(new Tenant("t", 2, 1)); // one in two seconds at this node
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("a");
        serve(s, 20, 20 * MS);
        s.delta(new EndpointEntry("a", 1, EndpointState.GONE, "here", 0, 0));
        s.balancer.requestArrived(s.now, 1001, "safe", 0, s.now + 1000 * MS, "t", false, 0);
        s.advance(50 * MS);
        s.balancer.requestArrived(s.now, 1002, "safe", 0, s.now + 1000 * MS, "t", false, 0);
        s.delta(ScriptedBalancer.ready("a"));
        assertEquals(1, s.sendsOf(1001).size(), "within the quota");
        assertEquals(0, s.sendsOf(1002).size(), "over the quota");
    }

    @Test
    void aRestartClearsTheFailureRecordOfAnEndpoint() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b", "c");
        for (int i = 0; i < 100; i++) {
            long id = s.request("unsafe");
            boolean fails = endpointOf(s, id).equals("a");
            s.advance(fails ? MS : 20 * MS);
            s.end(id, fails ? Outcome.ERROR : Outcome.OK);
        }
        s.delta(new EndpointEntry("a", 1, EndpointState.READY, "here", s.now - 60_000 * MS, 0));
        int toA = 0;
        for (int i = 0; i < 30; i++) {
            long id = s.request("unsafe");
            toA += endpointOf(s, id).equals("a") ? 1 : 0;
            s.advance(20 * MS);
            s.end(id, Outcome.OK);
        }
        assertTrue(toA > 3, "unsafe sends after its restart: " + toA);
    }

    @Test
    void aQuickRetryGoesToAnotherEndpoint() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        for (int i = 0; i < 20; i++) {
            long id = s.request("safe");
            s.advance(MS);
            s.end(id, Outcome.ERROR);
            assertEquals(2, s.sendsOf(id).size());
            assertNotEquals(endpointOf(s, id), s.sendsOf(id).get(1).endpoint());
            s.advance(20 * MS);
            s.end(id, Outcome.OK);
            serve(s, 20, 20 * MS);
        }
    }

    @Test
    void anEndpointThatFailsSometimesGetsFewerRequests() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        int toA = 0;
        for (int i = 0; i < 400; i++) {
            long id = s.request("unsafe");
            boolean a = endpointOf(s, id).equals("a");
            toA += a ? 1 : 0;
            s.advance(20 * MS);
            s.end(id, a && toA % 2 == 0 ? Outcome.ERROR : Outcome.OK);
        }
        assertTrue(toA > 20 && toA < 140, "of 400 to the endpoint that fails sometimes: " + toA);
    }

    @Test
    void theLimitShrinksWhileOtherNodesFillTheEndpoint() {
        Settings settings = ScriptedBalancer.settings();
        settings.nodes = 8;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("a");
        serve(s, 100, 20 * MS);
        List<ScriptedBalancer.Send> inFlight = new ArrayList<>();
        int sentLate = 0;
        for (int tick = 0; tick < 600; tick++) {
            int before = s.sends.size();
            s.request("safe");
            s.advance(10 * MS);
            inFlight.addAll(s.sends.subList(before, s.sends.size()));
            for (ScriptedBalancer.Send x : List.copyOf(inFlight)) {
                if (x.at() + 44 * MS <= s.now) { // 2.2 idle latencies, whatever this node sends
                    int sent = s.sends.size();
                    s.balancer.attemptEnded(
                            s.now, x.id(), x.attempt(), Outcome.OK, 44 * MS, true, null);
                    inFlight.remove(x);
                    inFlight.addAll(s.sends.subList(sent, s.sends.size()));
                }
            }
            sentLate += tick >= 400 ? s.sends.size() - before : 0;
        }
        assertTrue(sentLate < 20, "sends in two seconds: " + sentLate);
    }

    @Test
    void anEndpointInSlowStartGetsTicketsInProportionToItsCapacity() {
        Settings settings = ScriptedBalancer.settings();
        settings.slowStartNs = 300_000 * MS;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("b");
        serve(s, 100, 20 * MS);
        s.delta(new EndpointEntry("a", 1, EndpointState.READY, "here", s.now - 30_000 * MS, 0));
        int toA = serve(s, 300, 20 * MS);
        assertTrue(toA > 10 && toA < 90, "of 300 to the endpoint in slow start: " + toA);
    }

    @Test
    void slowResponsesAreNotTakenForTheIdleLatency() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a");
        serve(s, 300, 20 * MS);
        serve(s, 300, 34 * MS);
        serve(s, 60, 50 * MS);
        int before = s.sends.size();
        for (int i = 0; i < 10; i++) {
            s.request("safe");
        }
        assertTrue(s.sends.size() - before <= 1, "at once: " + (s.sends.size() - before));
    }

    @Test
    void anEndpointThatFailsFastIsEjectedAndTriedAgainLater() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b", "c");
        int toA = 0;
        for (int i = 0; i < 300; i++) {
            long id = s.request("unsafe");
            if (s.sendsOf(id).get(0).endpoint().equals("a")) {
                toA++;
                s.advance(MS);
                s.end(id, Outcome.ERROR);
            } else {
                s.advance(20 * MS);
                s.end(id, Outcome.OK);
            }
        }
        assertTrue(toA <= 3, "unsafe sends to the failing endpoint: " + toA);
        s.advance(20_000 * MS);
        boolean tried = false;
        for (int i = 0; i < 50 && !tried; i++) {
            long id = s.request("safe");
            tried = s.sendsOf(id).get(0).endpoint().equals("a");
            s.advance(20 * MS);
            s.end(id, Outcome.OK);
        }
        assertTrue(tried, "half-open trial");
    }

    @Test
    void aNodeThatSeesAllEndpointsFailEjectsNone() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        for (int i = 0; i < 30; i++) {
            long id = s.request("unsafe");
            s.advance(300 * MS);
            assertEquals(1, s.sendsOf(id).size(), "request " + i);
            s.end(id, Outcome.ERROR);
        }
    }

    @Test
    void aFullEndpointIsNotFlooded() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a");
        int sends = 0;
        for (int i = 0; i < 100; i++) {
            long id = s.request("safe");
            if (!s.sendsOf(id).isEmpty()) {
                s.end(id, Outcome.REJECTED);
                sends++;
            }
            s.advance(MS);
        }
        assertTrue(sends < 20, "sends to a full endpoint in 100 ms: " + sends);
    }

    @Test
    void anEndpointThatDoesNotRespondGetsNoMoreRequests() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        EndpointChoiceTest.serve(s, 200, 20 * MS, 20 * MS);
        long stuck = s.request("safe");
        String unresponsive = s.sendsOf(stuck).get(0).endpoint();
        s.advance(300 * MS);
        for (int i = 0; i < 20; i++) {
            long id = s.request("safe");
            assertNotEquals(unresponsive, s.sendsOf(id).get(0).endpoint());
            s.advance(20 * MS);
            s.end(id, Outcome.OK);
        }
    }

    @Test
    void aCongestedEndpointIsEjectedAndTriedAgain() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        EndpointChoiceTest.serve(s, 300, 20 * MS, 20 * MS);
        for (int i = 0; i < 200; i++) {
            long id = s.request("safe");
            s.advance(s.sendsOf(id).get(0).endpoint().equals("a") ? 150 * MS : 20 * MS);
            s.end(id, Outcome.OK);
        }
        int before = (int) s.sends.stream().filter(x -> x.endpoint().equals("a")).count();
        long from = s.now;
        EndpointChoiceTest.serve(s, 100, 150 * MS, 20 * MS);
        int during = (int) s.sends.stream().filter(x -> x.endpoint().equals("a")).count() - before;
        assertTrue(
                during <= 3,
                "sends to a congested endpoint in " + (s.now - from) / MS + " ms: " + during);
        s.advance(20_000 * MS);
        Map<String, Integer> after = EndpointChoiceTest.serve(s, 400, 20 * MS, 20 * MS);
        assertTrue(after.getOrDefault("a", 0) > 50, "after it recovered: " + after);
    }
}
