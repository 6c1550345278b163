package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.Test;
import trailthread.api.ListKind;
import trailthread.api.Settings;

/**
 * Polls of the endpoint list that fail at all nodes at the same time, in virtual time. Discovery
 * serves polls one after another, in some cases also those that timed out while they waited.
 */
public class ListPollTest {
    private static final int POLL_INTERVAL_S = 10;
    private static final long LIST_DUE_MS = 6_000;

    /** A poll that waits for longer fails. */
    private static final long POLL_TIMEOUT_MS = 2_000;

    /** Nodes whose watches have just broken. */
    private static List<ScriptedBalancer> fleet(int count) {
        List<ScriptedBalancer> nodes = fleet(count, ListKind.FULL);
        nodes.forEach(s -> s.balancer.updateEndpointList(s.now, ListKind.FAILED, List.of()));
        return nodes;
    }

    /** Nodes that have just received their first list. */
    private static List<ScriptedBalancer> fleet(int count, ListKind first) {
        List<ScriptedBalancer> nodes = new ArrayList<>();
        for (int me = 0; me < count; me++) {
            nodes.add(node(me, me, count, first, 0));
        }
        return nodes;
    }

    private static ScriptedBalancer node(
            int me, int seed, int count, ListKind first, int startsMs) {
        Settings settings = ScriptedBalancer.settings();
        settings.nodes = count;
        settings.nodeIndex = me;
        settings.listIsPolled = true;
        settings.pollIntervalNs = POLL_INTERVAL_S * 1000 * MS;
        ScriptedBalancer s = new ScriptedBalancer(settings, seed);
        s.now += startsMs * MS;
        s.balancer.updateEndpointList(s.now, first, List.of(ScriptedBalancer.ready("a")));
        return s;
    }

    /**
     * The number of polls in each second of a minute, by a fleet whose watches have broken and
     * whose polls all time out.
     */
    private static int[] pollsThatTimeOut(int count, long pollTimeoutMs) {
        int[] polls = new int[60];
        for (ScriptedBalancer s : fleet(count)) {
            int last = 0;
            for (int tick = 0; tick < 600; tick++) {
                int before = s.watches;
                s.advance(100 * MS);
                if (s.watches > before) {
                    polls[tick / 10]++;
                    assertTrue(
                            "polls within four intervals", tick - last < 4 * 10 * POLL_INTERVAL_S);
                    last = tick;
                    tick += (int) pollTimeoutMs / 100;
                    s.advance(pollTimeoutMs * MS);
                    s.balancer.updateEndpointList(s.now, ListKind.FAILED, List.of());
                }
            }
        }
        return polls;
    }

    /**
     * Prevents all nodes from polling at the same times, so that the polls of each wave time out
     * behind those of the wave before.
     */
    @Test
    public void pollsAfterABrokenWatchAreSpreadAndBackOff() {
        int count = 96;
        for (long pollTimeoutMs :
                new long[] {POLL_TIMEOUT_MS, 3_500}) { // longer than the first backoff
            int[] polls = pollsThatTimeOut(count, pollTimeoutMs);
            String all = Arrays.toString(polls);
            assertTrue(all, Arrays.stream(polls).max().orElseThrow() <= count / 3);
            int inFirstPeriod = Arrays.stream(polls, 0, POLL_INTERVAL_S).sum();
            assertTrue("most poll within an interval: " + all, inFirstPeriod > count / 2);
            assertTrue(
                    "one poll in two intervals: " + all,
                    Arrays.stream(polls, 20, 60).sum() < count * 40 / POLL_INTERVAL_S);
        }
    }

    /**
     * As {@link DiscoveryOutageSimulation#receivedAfterMs}, with polls that wait for up to two
     * seconds.
     */
    private static int[] listReceivedAfterMs(
            List<ScriptedBalancer> nodes, int downMs, double serveMs, boolean servesTimedOutPolls) {
        DiscoveryOutageSimulation.Outage outage = new DiscoveryOutageSimulation.Outage(downMs, 0);
        return new DiscoveryOutageSimulation(serveMs, POLL_TIMEOUT_MS, servesTimedOutPolls, outage)
                .receivedAfterMs(nodes);
    }

    /**
     * Prevents backoffs from growing past the time in which the list is due, and nodes from polling
     * together when discovery returns.
     */
    @Test
    public void theListIsReceivedWhenItIsDue() {
        int[][] cases = { // number of nodes, how long discovery is down (ms), how long it takes to
            // serve all polls (ms)
            {3, 0, 800},
            {3, 8_000, 800},
            {3, 30_000, 800},
            {40, 0, 4_000},
            {40, 8_000, 4_000},
            {120, 0, 5_000},
            {120, 8_000, 5_000},
            {120, 30_000, 5_000},
            {120, 8_000, 5_800},
        };
        for (int[] c : cases) {
            for (boolean servesTimedOutPolls : new boolean[] {false, true}) {
                int[] receivedAt =
                        listReceivedAfterMs(
                                fleet(c[0]), c[1], (double) c[2] / c[0], servesTimedOutPolls);
                long inTime = IntStream.of(receivedAt).filter(ms -> ms <= LIST_DUE_MS).count();
                String all = Arrays.toString(c) + ": " + Arrays.toString(receivedAt);
                assertTrue(all, inTime >= 0.97 * c[0]);
                assertTrue(all, receivedAt[c[0] - 1] < 2 * POLL_INTERVAL_S * 1000);
            }
        }
    }

    /**
     * Most nodes are killed and start again at the same time. Prevents them from polling at the
     * same moment, so that most polls time out while discovery serves the first.
     */
    @Test
    public void nodesThatStartTogetherReceiveTheListInTime() {
        for (int count : new int[] {1, 12, 84}) {
            for (boolean servesTimedOutPolls : new boolean[] {false, true}) {
                List<ScriptedBalancer> nodes = fleet(120, ListKind.CACHED).subList(0, count);
                int[] receivedAt = listReceivedAfterMs(nodes, 0, 50, servesTimedOutPolls);
                assertTrue(Arrays.toString(receivedAt), receivedAt[count - 1] < LIST_DUE_MS);
            }
        }
    }

    /**
     * Discovery returns, and soon after that most nodes are killed and restarted. Prevents the
     * polls of restarted nodes from timing out behind earlier polls.
     */
    @Test
    public void nodesKilledAfterAnOutageReceiveTheListInTime() {
        int count = 109;
        int killedMs = 3_700;
        int fleets = 8;
        for (int hangsMs : new int[] {0, 2_500}) {
            long inTime = 0;
            for (int i = 0; i < fleets; i++) {
                List<ScriptedBalancer> nodes = new ArrayList<>();
                for (int me = 0; me < count; me++) {
                    nodes.add(node(me, 1_000 * i + me, count, ListKind.FULL, 0));
                }
                nodes.forEach(
                        s -> s.balancer.updateEndpointList(s.now, ListKind.FAILED, List.of()));
                DiscoveryOutageSimulation discovery =
                        new DiscoveryOutageSimulation(
                                58,
                                1_500,
                                true,
                                new DiscoveryOutageSimulation.Outage(8_000, hangsMs));
                discovery.kill(
                        76,
                        killedMs,
                        (me, atMs) -> node(me, count + me, count, ListKind.CACHED, atMs));
                int[] receivedAt = discovery.receivedAfterMs(nodes);
                inTime +=
                        IntStream.of(receivedAt).filter(ms -> ms <= killedMs + LIST_DUE_MS).count();
            }
            assertTrue(hangsMs + ": " + inTime, inTime >= 0.97 * count * fleets);
        }
    }

    /**
     * Prevents a long poll interval from delaying the first poll past the time when the list is
     * due.
     */
    @Test
    public void aStartingNodePollsInTimeWhateverThePollInterval() {
        Settings settings = ScriptedBalancer.settings();
        settings.nodes = 100;
        settings.listIsPolled = true;
        settings.pollIntervalNs = 3_600_000 * MS;
        for (int seed = 0; seed < 100; seed++) {
            ScriptedBalancer s = new ScriptedBalancer(settings, seed);
            s.balancer.updateEndpointList(
                    s.now, ListKind.CACHED, List.of(ScriptedBalancer.ready("a")));
            s.advance(LIST_DUE_MS * MS);
            assertTrue("seed " + seed, s.watches > 0);
        }
    }

    /** Prevents a single node from polling an address that never responds many times a second. */
    @Test
    public void aSingleNodeBacksOff() {
        ScriptedBalancer s = fleet(1).get(0);
        for (int at = 0; at < 60_000; at += DiscoveryOutageSimulation.TICK_MS) {
            int before = s.watches;
            s.advance(DiscoveryOutageSimulation.TICK_MS * MS);
            if (s.watches > before) {
                s.balancer.updateEndpointList(s.now, ListKind.FAILED, List.of());
            }
        }
        assertTrue(s.watches + " polls in a minute", s.watches > 10 && s.watches < 180);
    }

    /**
     * Discovery takes longer to serve all polls than the time in which the list is due; still,
     * every node receives the list in the end.
     */
    @Test
    public void aFleetLargerThanDiscoveryCanServeReceivesTheListInTheEnd() {
        for (int downMs : new int[] {0, 8_000}) {
            for (boolean servesTimedOutPolls : new boolean[] {false, true}) {
                int[] receivedAt =
                        listReceivedAfterMs(fleet(120), downMs, 8_000 / 120.0, servesTimedOutPolls);
                assertTrue(
                        Arrays.toString(receivedAt), receivedAt[119] < 6 * POLL_INTERVAL_S * 1000);
                assertTrue(
                        Arrays.toString(receivedAt), receivedAt[60] < 2 * POLL_INTERVAL_S * 1000);
            }
        }
    }
}
