package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.Outcome;
import trailthread.api.Settings;

/**
 * Half of the endpoints restart while the load rises, and nodes do not communicate. Checks, in
 * virtual time, that all nodes together send each restarted endpoint no more than its capacity in
 * slow start.
 */
public class SlowStartFleetTest {
    private static final int ENDPOINTS = 24;
    private static final int RESTARTED_ENDPOINTS = 12;

    /** Requests that a warm endpoint serves in a second, one after another. */
    private static final double WARM_CAPACITY_PER_S = 50;

    private static final long RESTART_AT_MS = 15_000;
    private static final long END_AT_MS = 27_000;
    private static final long OVERLOAD_WINDOW_MS = 3_000;
    private static final double OVERLOAD_MULTIPLE = 1;

    /** Load before and after the restart, as a share of what all endpoints can serve when warm. */
    private static final double LOAD_BEFORE = 0.5;

    private static final double LOAD_AFTER = 0.8;

    private static final int STEP_MS = 5;
    private static final double STEP_S = 0.005;

    private static final double INITIAL_SHARE = 0.2;
    private static final long SLOW_START_MS = 10_000;

    private record Response(long at, long id) {}

    /**
     * Simulates one node, and counts what it sends to each restarted endpoint, by the time of the
     * send in milliseconds from the beginning.
     */
    private static void simulateNode(
            int nodes, int node, long seed, Map<String, NavigableMap<Long, Integer>> sent) {
        Settings settings = ScriptedBalancer.settings();
        settings.nodes = nodes;
        settings.nodeIndex = node;
        settings.overloadMultiple = OVERLOAD_MULTIPLE;
        settings.overloadWindowNs = OVERLOAD_WINDOW_MS * MS;
        settings.slowStartInitialShare = INITIAL_SHARE;
        settings.slowStartNs = SLOW_START_MS * MS;
        SplittableRandom random = new SplittableRandom(seed * 1_000 + node);
        ScriptedBalancer s = new ScriptedBalancer(settings, random.nextLong());
        long start = s.now;
        announceEndpoints(s, 0);
        double trafficFactor = 2 * random.nextDouble(); // traffic is spread unevenly
        PriorityQueue<Response> responses =
                new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        int sendsSeen = 0;
        boolean restarted = false;
        for (long at = 0; at < END_AT_MS; at += STEP_MS) {
            s.advance(start + at * MS - s.now);
            if (!restarted && at >= RESTART_AT_MS) {
                restarted = true;
                announceEndpoints(s, start + RESTART_AT_MS * MS);
            }
            while (!responses.isEmpty() && responses.peek().at() <= at) {
                s.end(responses.poll().id(), Outcome.OK);
            }
            double load = at < RESTART_AT_MS ? LOAD_BEFORE : LOAD_AFTER;
            if (random.nextDouble()
                    < load * trafficFactor * ENDPOINTS * WARM_CAPACITY_PER_S / nodes * STEP_S) {
                s.request("safe");
            }
            for (; sendsSeen < s.sends.size(); sendsSeen++) {
                ScriptedBalancer.Send send = s.sends.get(sendsSeen);
                responses.add(new Response(at + 15 + random.nextInt(15), send.id()));
                if (send.endpoint().startsWith("restarted")) {
                    sent.computeIfAbsent(send.endpoint(), none -> new TreeMap<>())
                            .merge(at, 1, Integer::sum);
                }
            }
        }
    }

    private static void announceEndpoints(ScriptedBalancer s, long readyAt) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            entries.add(
                    readyAt == 0 || i >= RESTARTED_ENDPOINTS
                            ? ScriptedBalancer.ready("warm-" + i)
                            : new EndpointEntry(
                                    "restarted-" + i, 1, EndpointState.READY, "here", readyAt, 0));
        }
        s.balancer.updateEndpointList(s.now, ListKind.FULL, entries);
    }

    /**
     * The bound is the capacity, plus two standard deviations of a Poisson count, plus two
     * requests.
     */
    @Test
    public void noStartingEndpointIsOverloadedByAllNodesTogether() {
        for (int nodes : new int[] {20, 30, 120}) {
            for (long seed = 1; seed <= 3; seed++) {
                Map<String, NavigableMap<Long, Integer>> sent = new HashMap<>();
                for (int node = 0; node < nodes; node++) {
                    simulateNode(nodes, node, seed, sent);
                }
                assertTrue("restarted endpoints are used", sent.size() == RESTARTED_ENDPOINTS);
                sent.values().forEach(sends -> assertNeverOverloaded(nodes, sends));
            }
        }
    }

    /** Checks the number of sends in each overload window that ends with a send. */
    private static void assertNeverOverloaded(int nodes, NavigableMap<Long, Integer> sends) {
        for (long at : sends.keySet()) {
            int count =
                    sends.subMap(at - OVERLOAD_WINDOW_MS, false, at, true).values().stream()
                            .mapToInt(Integer::intValue)
                            .sum();
            double age = Math.min(1, (double) (at - RESTART_AT_MS) / SLOW_START_MS);
            double capacityShare = INITIAL_SHARE + (1 - INITIAL_SHARE) * age;
            double perSecond = OVERLOAD_MULTIPLE * capacityShare * WARM_CAPACITY_PER_S;
            double capacity = perSecond * OVERLOAD_WINDOW_MS / 1_000;
            assertTrue(
                    nodes + " nodes sent " + count + " by " + at + " ms, capacity " + capacity,
                    count <= capacity + 2 * Math.sqrt(capacity) + 2);
        }
    }
}
