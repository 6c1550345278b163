package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.Settings;
import trailthread.api.WeightMeaning;

/** The combined behaviour of many nodes that each have few requests and do not communicate. */
class ManyNodesTest {
    private static final long MS = ScriptedBalancer.MS;
    private static final int NODES = 200;

    private static Settings settings(int me, double connectionPrice) {
        Settings s = ScriptedBalancer.settings();
        s.nodes = NODES;
        s.nodeIndex = me;
        s.connectionPrice = connectionPrice;
        return s;
    }

    private static List<EndpointEntry> entries(int from, int to) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = from; i < to; i++) {
            String zone = i % 2 == 0 ? "here" : "there";
            entries.add(
                    new EndpointEntry(
                            "10.0.0." + i + ":80", 1, EndpointState.READY, zone, 0, i / 4));
        }
        return entries;
    }

    /** The endpoints that a node uses for a number of requests, one after another. */
    private static Set<String> used(ScriptedBalancer s, int requests) {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            long id = s.request("safe");
            s.advance(100 * MS);
            for (ScriptedBalancer.Send send : s.sendsOf(id)) {
                used.add(send.endpoint());
                s.end(id, Outcome.OK);
            }
        }
        return used;
    }

    @Test
    void withAConnectionPriceEachNodeUsesASubsetAndEndpointsAreSharedEvenly() {
        Map<String, Integer> users = new TreeMap<>();
        for (int me = 0; me < NODES; me++) {
            ScriptedBalancer s = new ScriptedBalancer(settings(me, 0.05), me);
            s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 40));
            Set<String> used = used(s, 60);
            assertTrue(used.size() >= 2 && used.size() <= 6, "node " + me + " uses " + used.size());
            used.forEach(b -> users.merge(b, 1, Integer::sum));
        }
        assertEquals(40, users.size(), "every endpoint has users");
        int most = users.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        int least = users.values().stream().mapToInt(Integer::intValue).min().orElseThrow();
        assertTrue(most <= 2 * least, "users of an endpoint: " + least + " to " + most);
    }

    @Test
    void withFreeConnectionsANodeUsesAllEndpoints() {
        ScriptedBalancer s = new ScriptedBalancer(settings(7, 0), 7);
        s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 20));
        assertEquals(20, used(s, 400).size());
    }

    @Test
    void aNewEndpointChangesTheSubsetOfFewNodes() {
        int added = 0;
        for (int me = 0; me < NODES; me++) {
            ScriptedBalancer s = new ScriptedBalancer(settings(me, 0.05), me);
            s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 40));
            Set<String> before = used(s, 80);
            s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 41));
            Set<String> after = used(s, 80);
            after.removeAll(before);
            added += after.size();
        }
        assertTrue(added <= NODES, "endpoints new to " + NODES + " nodes: " + added);
    }

    @Test
    void aSubsetThatFailsIsFilledUpWithOtherEndpoints() {
        ScriptedBalancer s = new ScriptedBalancer(settings(3, 0.05), 3);
        s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 40));
        Set<String> failing = used(s, 80);
        Set<String> others = new HashSet<>();
        for (int i = 0; i < 400; i++) { // every endpoint of the first subset fails
            long id = s.request("unsafe");
            s.advance(100 * MS);
            for (ScriptedBalancer.Send send : List.copyOf(s.sendsOf(id))) {
                boolean fails = failing.contains(send.endpoint());
                s.end(id, fails ? Outcome.ERROR : Outcome.OK);
                if (!fails) {
                    others.add(send.endpoint());
                }
            }
        }
        assertTrue(others.size() >= 2, "endpoints added: " + others);
    }

    /**
     * Responses of some endpoints show an overload long before every endpoint has responded to this
     * node.
     */
    @Test
    void slowResponsesOfSomeEndpointsCutAllInFlight() {
        assertTrue(
                burstAfter(400 * MS, Outcome.OK) < burstAfter(20 * MS, Outcome.OK),
                "slow responses");
        int failing = burstAfter(600 * MS, Outcome.ERROR);
        assertTrue(burstAfter(600 * MS, Outcome.TIMEOUT) < failing, "timeouts");
    }

    /**
     * The limits of endpoints without responses are cut, too, so one fast response opens only a few
     * of them.
     */
    @Test
    void overloadOfOtherEndpointsIsNotForgottenAtOnce() {
        ScriptedBalancer calm = new ScriptedBalancer(settings(3, 0), 3);
        ScriptedBalancer after = new ScriptedBalancer(settings(3, 0), 3);
        for (ScriptedBalancer s : List.of(calm, after)) {
            s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 40));
            serve(s, 12, s == calm ? 20 * MS : 400 * MS);
            serve(s, 12, 20 * MS);
        }
        assertTrue(burst(after) < burst(calm), "sent at once after an overload, and without one");
    }

    private static void serve(ScriptedBalancer s, int requests, long latency) {
        for (int i = 0; i < requests; i++) {
            long id = s.request("unsafe");
            s.advance(latency);
            if (!s.sendsOf(id).isEmpty()) {
                s.end(id, Outcome.OK);
            }
        }
    }

    private static int burst(ScriptedBalancer s) {
        int before = s.sends.size();
        for (int i = 0; i < 30; i++) {
            s.request("unsafe");
        }
        return s.sends.size() - before;
    }

    @Test
    void liveWeightsGiveTheSizeOfAnEndpointButNotItsLoad() {
        Settings settings = ScriptedBalancer.settings();
        settings.weights = WeightMeaning.LIVE;
        ScriptedBalancer s = new ScriptedBalancer(settings, 5);
        s.balancer.updateEndpointList(
                s.now,
                ListKind.FULL,
                List.of(
                        new EndpointEntry("big", 2, EndpointState.READY, "here", 0, 0),
                        new EndpointEntry("small", 1, EndpointState.READY, "here", 0, 0)));
        s.delta(
                new EndpointEntry(
                        "big",
                        0.2,
                        EndpointState.READY,
                        "here",
                        0,
                        0)); // all nodes receive this at the same time
        serve(s, 300, 20 * MS);
        long big = s.sends.stream().filter(x -> x.endpoint().equals("big")).count();
        assertTrue(big > 180 && big < 240, "of 300 to the endpoint of twice the size: " + big);
    }

    /**
     * How many of thirty simultaneous requests are sent at once, after forty requests with this
     * latency and outcome.
     */
    private static int burstAfter(long latency, Outcome outcome) {
        ScriptedBalancer s = new ScriptedBalancer(settings(3, 0), 3);
        s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 40));
        for (int i = 0; i < 40; i++) {
            long id = s.request("unsafe");
            s.advance(latency);
            if (!s.sendsOf(id).isEmpty()) {
                s.end(id, outcome);
            }
        }
        s.advance(1100 * MS);
        return burst(s);
    }

    @Test
    void theReportedServiceTimeIdentifiesASlowEndpoint() {
        ScriptedBalancer s = new ScriptedBalancer(settings(3, 0), 3);
        s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 4));
        String slow = "10.0.0.0:80";
        Map<String, Integer> sends = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            long id = s.request("safe");
            s.advance(50 * MS); // the latency seen here is the same for all endpoints
            if (!s.sendsOf(id).isEmpty()) {
                String b = s.sendsOf(id).get(0).endpoint();
                sends.merge(b, 1, Integer::sum);
                double ms = b.equals(slow) ? 90 : 20;
                s.end(
                        id,
                        Outcome.OK,
                        new LoadReport(Double.NaN, 0, Double.NaN, ms, Double.NaN, Double.NaN));
            }
        }
        int mean = sends.values().stream().mapToInt(Integer::intValue).sum() / 4;
        assertTrue(sends.getOrDefault(slow, 0) < 0.8 * mean, sends.toString());
    }

    @Test
    void anEndpointThatRejectsGetsFewerTicketsThoughItRespondsAtOnce() {
        ScriptedBalancer s = new ScriptedBalancer(settings(3, 0), 3);
        s.balancer.updateEndpointList(s.now, ListKind.FULL, entries(0, 8));
        Map<String, Integer> sends = new HashMap<>();
        String full = "10.0.0.0:80";
        for (int i = 0; i < 300; i++) {
            long id = s.request("unsafe");
            s.advance(20 * MS);
            if (!s.sendsOf(id).isEmpty()) {
                String b = s.sendsOf(id).get(s.sendsOf(id).size() - 1).endpoint();
                sends.merge(b, 1, Integer::sum);
                s.end(id, b.equals(full) ? Outcome.REJECTED : Outcome.OK);
                if (b.equals(full) && s.sendsOf(id).size() == 2) {
                    s.advance(20 * MS);
                    s.end(id, Outcome.OK);
                }
            }
        }
        int all = sends.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(sends.getOrDefault(full, 0) < 0.5 * all / 8, sends.toString());
    }

    @Test
    void rejectionsCarryRetryAfterOnlyIfClientsHonourIt() {
        for (boolean honoursRetryAfter : new boolean[] {true, false}) {
            Settings settings = ScriptedBalancer.settings();
            settings.retryAfter = honoursRetryAfter;
            settings.maxRetryAfterNs = 500 * MS;
            ScriptedBalancer s = new ScriptedBalancer(settings, 5);
            s.endpoints();
            s.request("safe");
            s.advance(1000 * MS);
            assertEquals(1, s.rejected.size());
            assertEquals(honoursRetryAfter, s.lastRetryAfterNs > 0);
            assertTrue(
                    s.lastRetryAfterNs <= 500 * MS,
                    "at most what clients honour: " + s.lastRetryAfterNs);
        }
    }

    @Test
    void nodesThatLearnOfANewEndpointTogetherDoNotSendTogether() {
        int atOnce = 0;
        for (int me = 0; me < NODES; me++) {
            ScriptedBalancer s = new ScriptedBalancer(settings(me, 0), me);
            s.balancer.updateEndpointList(
                    s.now,
                    ListKind.FULL,
                    List.of(new EndpointEntry("new", 1, EndpointState.READY, "here", s.now, 0)));
            s.request("safe");
            atOnce += s.sends.size();
        }
        assertTrue(atOnce <= NODES / 20, "of " + NODES + " nodes at once: " + atOnce);
    }
}
