package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.LoadReportSource;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** Which endpoint a request goes to, through the balancer as a whole. */
class EndpointChoiceTest {
    private static final long MS = ScriptedBalancer.MS;

    /**
     * Serves one request after another, each with the latency of its endpoint, and counts the sends
     * by endpoint.
     */
    static Map<String, Integer> serve(
            ScriptedBalancer s, int requests, long aLatency, long bLatency) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < requests; i++) {
            long id = s.request("safe");
            if (s.sendsOf(id).isEmpty()) {
                s.advance(500 * MS);
            }
            String endpoint = s.sendsOf(id).get(0).endpoint();
            counts.merge(endpoint, 1, Integer::sum);
            s.advance(endpoint.equals("a") ? aLatency : bLatency);
            s.end(id, Outcome.OK, ScriptedBalancer.queueReport(0));
        }
        return counts;
    }

    @Test
    void equalEndpointsGetEqualShares() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 7);
        s.endpoints("a", "b");
        Map<String, Integer> counts = serve(s, 2000, 20 * MS, 20 * MS);
        assertEquals(1000, counts.get("a"), 150);
    }

    @Test
    void ticketsFollowTheReportedQueue() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 7);
        s.endpoints("a", "b");
        serve(s, 400, 20 * MS, 20 * MS);
        int toA = 0;
        for (int i = 0; i < 1500; i++) {
            long id = s.request("safe");
            String endpoint = s.sendsOf(id).get(0).endpoint();
            toA += endpoint.equals("a") ? 1 : 0;
            s.advance(20 * MS);
            s.end(id, Outcome.OK, ScriptedBalancer.queueReport(endpoint.equals("a") ? 0.8 : 0));
        }
        // tickets 1/1.8 against 1/1: 36 in 100
        assertEquals(0.36, toA / 1500.0, 0.06);
    }

    @Test
    void ownSendsSinceTheReportReduceTheTickets() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 3);
        s.endpoints("a", "b");
        serve(s, 100, 20 * MS, 20 * MS);
        int other = 0;
        for (int i = 0; i < 400; i++) {
            long first = s.request("safe");
            long second = s.request("safe");
            other +=
                    s.sendsOf(first).get(0).endpoint().equals(s.sendsOf(second).get(0).endpoint())
                            ? 0
                            : 1;
            s.advance(20 * MS);
            s.end(first, Outcome.OK, ScriptedBalancer.queueReport(0));
            s.end(second, Outcome.OK, ScriptedBalancer.queueReport(0));
        }
        // one attempt in flight against none: tickets 1/2 against 1, so two in three go to the
        // other endpoint
        assertTrue(other > 400 * 0.58, "to the other endpoint: " + other);
    }

    @Test
    void aSlowEndpointGetsFewTickets() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        Map<String, Integer> counts = serve(s, 600, 15 * MS, 90 * MS);
        assertTrue(counts.get("b") < 60, "to the slow endpoint: " + counts);
    }

    /**
     * Prevents the lottery from never drawing an endpoint again that was draining while the others
     * became slightly faster.
     */
    @Test
    void latencyDifferencesBelowTheResolutionExcludeNoEndpoint() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        serve(s, 200, MS / 2, MS / 2);
        s.delta(new EndpointEntry("b", 1, EndpointState.DRAINING, "here", 0, 0));
        serve(s, 2000, MS / 15, MS / 15);
        s.delta(ScriptedBalancer.ready("b"));
        s.advance(10_000 * MS);
        Map<String, Integer> counts = serve(s, 2000, MS / 15, MS / 15);
        assertTrue(
                counts.getOrDefault("b", 0) > 500, "to the endpoint that was draining: " + counts);
    }

    @Test
    void limitsGrowWhileResponsesAreFast() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a");
        for (int i = 0; i < 40; i++) {
            for (int k = 0; k < 12; k++) {
                s.request("safe");
            }
            s.advance(20 * MS);
            for (ScriptedBalancer.Send x : List.copyOf(s.sends)) {
                s.balancer.attemptEnded(
                        s.now,
                        x.id(),
                        x.attempt(),
                        Outcome.OK,
                        20 * MS,
                        true,
                        ScriptedBalancer.queueReport(0));
            }
        }
        int sent = s.sends.size();
        for (int k = 0; k < 30; k++) {
            s.request("safe");
        }
        assertTrue(
                s.sends.size() - sent >= 8,
                "sent at once after fast responses: " + (s.sends.size() - sent));
    }

    @Test
    void onlyIdempotentAttemptsHaveATimeout() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        serve(s, 100, 20 * MS, 20 * MS);
        String before = s.transcript.toString();
        long safe = s.request("safe");
        long unsafe = s.request("unsafe");
        String[] words = s.transcript.substring(before.length()).split("[ \n]");
        List<String> sent = List.of(words);
        long safeTimeOut = Long.parseLong(sent.get(sent.indexOf(Long.toString(safe)) + 1));
        assertTrue(safeTimeOut >= 60 * MS && safeTimeOut <= 400 * MS, "timeout " + safeTimeOut);
        assertEquals("0", sent.get(sent.lastIndexOf(Long.toString(unsafe)) + 1));
    }

    @Test
    void reportedInFlightRequestsDoNotCloseAnEndpoint() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a");
        for (int i = 0; i < 100; i++) {
            long id = s.request("safe");
            assertEquals(1, s.sendsOf(id).size(), "request " + i);
            s.advance(20 * MS);
            double none = Double.NaN;
            s.end(id, Outcome.OK, new LoadReport(10 + i % 3, none, none, none, none, none));
        }
    }

    @Test
    void aLongStreamDoesNotMakeItsEndpointLookSlow() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        serve(s, 100, 20 * MS, 20 * MS);
        for (int i = 0; i < 20; i++) {
            long id = s.request("safe");
            s.advance(20 * MS);
            s.balancer.firstByteReceived(s.now, id, 0);
            s.advance(3000 * MS);
            s.end(id, Outcome.OK);
        }
        Map<String, Integer> counts = serve(s, 400, 20 * MS, 20 * MS);
        assertEquals(200, counts.get("a"), 80);
    }

    @Test
    void endpointsThatReportOnlyToHealthChecksAreCheckedInTurn() {
        Settings settings = ScriptedBalancer.settings();
        settings.reports = LoadReportSource.HEALTH_CHECKS;
        settings.mayCheckHealth = true;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("a", "b", "c");
        s.advance(5000 * MS);
        String transcript = s.transcript.toString();
        for (String name : List.of("a", "b", "c")) {
            assertTrue(transcript.contains("probe " + name), transcript);
        }
        settings.mayCheckHealth = false;
        ScriptedBalancer withoutPermission = new ScriptedBalancer(settings, 5);
        withoutPermission.endpoints("a");
        withoutPermission.advance(5000 * MS);
        assertTrue(
                !withoutPermission.transcript.toString().contains("probe"),
                "probes need permission");
    }

    @Test
    void requestsOverTheConcurrencyLimitAreQueued() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a");
        serve(s, 100, 30 * MS, 30 * MS);
        for (int i = 0; i < 50; i++) {
            s.request("unsafe");
        }
        long sentAtOnce = s.sends.size() - 100L;
        assertTrue(sentAtOnce >= 1 && sentAtOnce <= 4, "sent at once: " + sentAtOnce);
        s.advance(1500 * MS);
        assertEquals(
                50 - sentAtOnce, s.rejected.size(), "queued requests are rejected, not failed");
    }

    @Test
    void theRequestWithTheLargerPriorityWeightGoesFirst() {
        Settings settings = ScriptedBalancer.settings();
        settings.classes.add(
                new RequestClass(
                        "dear",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        10,
                        0.2));
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints();
        long light = s.request("safe");
        long heavy = s.request("dear");
        s.delta(new EndpointEntry("a", 1, EndpointState.READY, "here", s.now, 0));
        s.advance(250 * MS); // an endpoint in slow start gets its first request within an objective
        assertEquals(1, s.sendsOf(heavy).size());
        assertEquals(0, s.sendsOf(light).size());
    }

    @Test
    void eachOfManyNodesTakesAShareOfAnEndpoint() {
        Settings settings = ScriptedBalancer.settings();
        settings.nodes = 40;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.endpoints("a");
        int sent = 0;
        for (int i = 0; i < 10; i++) {
            long id = s.request("safe");
            s.advance(20 * MS);
            if (!s.sendsOf(id).isEmpty()) {
                sent++;
                s.end(id, Outcome.OK);
            }
        }
        assertTrue(sent >= 1 && sent <= 5, "of 10 requests in a row, sent at once: " + sent);
    }

    @Test
    void aRequestTooLateToServeIsNotSent() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a");
        serve(s, 50, 60 * MS, 60 * MS);
        s.balancer.requestArrived(s.now, 9999, "safe", 0, s.now + 10 * MS, null, false, 0);
        assertTrue(s.sendsOf(9999).isEmpty());
        s.advance(50 * MS);
        assertTrue(s.rejected.contains(9999L));
    }

    @Test
    void theLocalZoneIsPreferredByTheCrossZonePrice() {
        Settings settings = ScriptedBalancer.settings();
        settings.zone = "here";
        settings.crossZonePrice = 0.06;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.balancer.updateEndpointList(
                s.now,
                ListKind.FULL,
                List.of(
                        ScriptedBalancer.ready("a"),
                        new EndpointEntry("b", 1, EndpointState.READY, "there", 0, 1)));
        Map<String, Integer> counts = serve(s, 200, 20 * MS, 20 * MS);
        assertTrue(counts.getOrDefault("b", 0) < 40, counts.toString());
    }

    @Test
    void aListWithoutAWatchIsPolledAgain() {
        Settings settings = ScriptedBalancer.settings();
        settings.listIsPolled = true;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.balancer.updateEndpointList(s.now, ListKind.CACHED, List.of(ScriptedBalancer.ready("a")));
        s.advance(
                settings.pollIntervalNs
                        / 300); // the first polls of all nodes are spread: see ListPollTest
        assertEquals(1, s.watches);
        s.balancer.updateEndpointList(s.now, ListKind.FAILED, List.of());
        s.advance(settings.pollIntervalNs / 2);
        assertTrue(s.watches >= 2, "polls: " + s.watches);
        s.balancer.updateEndpointList(s.now, ListKind.DELTA, List.of());
        int polls = s.watches;
        s.advance(10 * settings.pollIntervalNs);
        assertEquals(polls, s.watches, "no poll while there is a watch");
    }

    @Test
    void identicalEventsGiveIdenticalActions() {
        StringBuilder[] transcripts = new StringBuilder[2];
        for (int run = 0; run < 2; run++) {
            ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 99);
            s.endpoints("a", "b", "c");
            serve(s, 300, 20 * MS, 30 * MS);
            transcripts[run] = s.transcript;
        }
        assertEquals(transcripts[0].toString(), transcripts[1].toString());
    }
}
