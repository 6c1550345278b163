package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.Script.MS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.Test;
import trailthread.api.ListKind;
import trailthread.api.Settings;

/**
 * Calls for the list that fail at all nodes at once, in virtual time: discovery handles one after
 * another, and one that has waited for too long in vain.
 */
public class ListPollTest {
    private static final int PERIOD_S = 10;
    private static final long NEWS_DUE_MS = 6_000;

    /** What has waited so long fails. */
    private static final long WAITS_MS = 2_000;

    private static final int TICK_MS = 10;

    /** From a process's start to its first event. */
    private static final int STARTS_MS = 1_400;

    /** Nodes whose watches have just broken. */
    private static List<Script> fleet(int count) {
        List<Script> nodes = fleet(count, ListKind.FULL);
        nodes.forEach(s -> s.balancer.list(s.now, ListKind.FAILED, List.of()));
        return nodes;
    }

    /** Nodes that have just been told their first list. */
    private static List<Script> fleet(int count, ListKind first) {
        List<Script> nodes = new ArrayList<>();
        for (int me = 0; me < count; me++) {
            nodes.add(node(me, me, count, first, 0));
        }
        return nodes;
    }

    private static Script node(int me, int seed, int count, ListKind first, int startsMs) {
        Settings settings = Script.settings();
        settings.nodes = count;
        settings.me = me;
        settings.listIsPolled = true;
        settings.pollIntervalNs = PERIOD_S * 1000 * MS;
        Script s = new Script(settings, seed);
        s.now += startsMs * MS;
        s.balancer.list(s.now, first, List.of(Script.ready("a")));
        return s;
    }

    /**
     * In each second of a minute: a fleet's calls once its watches have broken, which all wait in
     * vain.
     */
    private static int[] callsThatWaitInVain(int count, long waitsMs) {
        int[] calls = new int[60];
        for (Script s : fleet(count)) {
            int last = 0;
            for (int tick = 0; tick < 600; tick++) {
                int before = s.watches;
                s.pass(100 * MS);
                if (s.watches > before) {
                    calls[tick / 10]++;
                    assertTrue("deemed told at four periods", tick - last < 4 * 10 * PERIOD_S);
                    last = tick;
                    tick += (int) waitsMs / 100;
                    s.pass(waitsMs * MS);
                    s.balancer.list(s.now, ListKind.FAILED, List.of());
                }
            }
        }
        return calls;
    }

    /**
     * All came back within a second, and again every 2.5 s: the calls of one wave died behind the
     * last.
     */
    @Test
    public void theyComeBackSpreadAndEverSlower() {
        int count = 96;
        for (long waitsMs : new long[] {WAITS_MS, 3_500}) { // and past when the module asks anew
            int[] calls = callsThatWaitInVain(count, waitsMs);
            String all = Arrays.toString(calls);
            assertTrue(all, Arrays.stream(calls).max().orElseThrow() <= count / 3);
            int inFirstPeriod = Arrays.stream(calls, 0, PERIOD_S).sum();
            assertTrue("most call within a period: " + all, inFirstPeriod > count / 2);
            assertTrue(
                    "one in two periods: " + all,
                    Arrays.stream(calls, 20, 60).sum() < count * 40 / PERIOD_S);
        }
    }

    /**
     * By when each node has the list, in milliseconds from the moment at which discovery can be
     * reached.
     *
     * @param downMs it is down for so long from now on, and calls fail at once
     * @param handleMs it takes so long for a call, also for one that has waited in vain if that is
     *     said
     */
    private static int[] knownAfter(
            List<Script> nodes, int downMs, double handleMs, boolean alsoInVain) {
        return knownAfter(nodes, downMs, handleMs, WAITS_MS, alsoInVain, 0, 0, 0);
    }

    /**
     * The same where some of the nodes are killed and start again.
     *
     * @param waitsMs a call that waits for longer fails
     * @param hangsMs so long before discovery can be reached, calls wait in vain as well
     * @param killed how many, the first ones
     * @param killedMs when, from the moment at which discovery can be reached
     */
    private static int[] knownAfter(
            List<Script> nodes,
            int downMs,
            double handleMs,
            long waitsMs,
            boolean alsoInVain,
            int hangsMs,
            int killed,
            int killedMs) {
        int count = nodes.size();
        int[] known = new int[count];
        int[] endsAt = new int[count];
        boolean[] fails = new boolean[count];
        double free = downMs;
        for (int at = 0, left = count; left > 0 && at < downMs + 120_000; at += TICK_MS) {
            int killedFor = at - downMs - killedMs;
            for (int i = 0; i < count; i++) {
                if (i < killed && killedFor >= 0 && killedFor < STARTS_MS) {
                    left += known[i] > 0 ? 1 : 0;
                    known[i] = 0;
                    endsAt[i] = 0;
                    continue;
                }
                if (i < killed && killedFor == STARTS_MS) {
                    nodes.set(i, node(i, count + i, count, ListKind.CACHED, at));
                }
                Script s = nodes.get(i);
                if (known[i] > 0) {
                    continue;
                }
                if (endsAt[i] > 0 && at >= endsAt[i]) {
                    endsAt[i] = 0;
                    if (!fails[i]) {
                        known[i] = at - downMs;
                        left--;
                        continue;
                    }
                    s.balancer.list(s.now, ListKind.FAILED, List.of());
                }
                int before = s.watches;
                s.pass(TICK_MS * MS);
                if (s.watches > before && endsAt[i] == 0) {
                    double waits = Math.max(0, free - at);
                    fails[i] = at < downMs || waits > waitsMs;
                    boolean down = at < downMs;
                    double waitedFor =
                            !down
                                    ? Math.min(waitsMs, waits + handleMs)
                                    : at >= downMs - hangsMs ? waitsMs : 0;
                    endsAt[i] = at + TICK_MS + (int) waitedFor;
                    free = down || (fails[i] && !alsoInVain) ? free : Math.max(free, at) + handleMs;
                }
            }
        }
        return Arrays.stream(known).map(ms -> ms == 0 ? Integer.MAX_VALUE : ms).sorted().toArray();
    }

    /**
     * With 120 nodes, four in ten had the list then, as they paused for up to 36 s after some
     * failures; and where discovery takes 6 s for all, no more of them: most called right after its
     * return.
     */
    @Test
    public void newsIsKnownWhenItIsDue() {
        int[][] cases = { // nodes, discovery is down for, and handles all their calls in:
            // milliseconds
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
            for (boolean alsoInVain : new boolean[] {false, true}) {
                int[] known = knownAfter(fleet(c[0]), c[1], (double) c[2] / c[0], alsoInVain);
                long inTime = IntStream.of(known).filter(ms -> ms <= NEWS_DUE_MS).count();
                String all = Arrays.toString(c) + ": " + Arrays.toString(known);
                assertTrue(all, inTime >= 0.97 * c[0]);
                assertTrue(all, known[c[0] - 1] < 2 * PERIOD_S * 1000);
            }
        }
    }

    /**
     * Most of a fleet is killed and starts again at once. All called in the same moment: discovery
     * served some, and went on with the rest, in vain, when these had waited for too long.
     */
    @Test
    public void nodesThatStartTogetherKnowTheListInTime() {
        for (int count : new int[] {1, 12, 84}) {
            for (boolean alsoInVain : new boolean[] {false, true}) {
                List<Script> nodes = fleet(120, ListKind.CACHED).subList(0, count);
                int[] known = knownAfter(nodes, 0, 50, alsoInVain);
                assertTrue(Arrays.toString(known), known[count - 1] < NEWS_DUE_MS);
            }
        }
    }

    /**
     * Discovery comes back, and soon after that most nodes are killed. The calls of those that
     * started met those that had waited in vain: a third of the fleet had no list when it was due.
     */
    @Test
    public void whereMostAreKilledOnceDiscoveryIsBackAllKnowInTime() {
        int count = 109;
        int killedMs = 3_700;
        int fleets = 8;
        for (int hangsMs : new int[] {0, 2_500}) {
            long inTime = 0;
            for (int i = 0; i < fleets; i++) {
                List<Script> nodes = new ArrayList<>();
                for (int me = 0; me < count; me++) {
                    nodes.add(node(me, 1_000 * i + me, count, ListKind.FULL, 0));
                }
                nodes.forEach(s -> s.balancer.list(s.now, ListKind.FAILED, List.of()));
                int[] known = knownAfter(nodes, 8_000, 58, 1_500, true, hangsMs, 76, killedMs);
                inTime += IntStream.of(known).filter(ms -> ms <= killedMs + NEWS_DUE_MS).count();
            }
            assertTrue(hangsMs + ": " + inTime, inTime >= 0.97 * count * fleets);
        }
    }

    /**
     * With an asking period of an hour, a hundred nodes had a quarter of one for their first calls.
     */
    @Test
    public void aStartAsksBeforeNewsIsDueHoweverLongThePeriodIs() {
        Settings settings = Script.settings();
        settings.nodes = 100;
        settings.listIsPolled = true;
        settings.pollIntervalNs = 3_600_000 * MS;
        for (int seed = 0; seed < 100; seed++) {
            Script s = new Script(settings, seed);
            s.balancer.list(s.now, ListKind.CACHED, List.of(Script.ready("a")));
            s.pass(NEWS_DUE_MS * MS);
            assertTrue("seed " + seed, s.watches > 0);
        }
    }

    /** A node alone would call an address that answers nobody some twenty times a second. */
    @Test
    public void aNodeAloneDoesNotCallAllTheTime() {
        Script s = fleet(1).get(0);
        for (int at = 0; at < 60_000; at += TICK_MS) {
            int before = s.watches;
            s.pass(TICK_MS * MS);
            if (s.watches > before) {
                s.balancer.list(s.now, ListKind.FAILED, List.of());
            }
        }
        assertTrue(s.watches + " calls in a minute", s.watches > 10 && s.watches < 180);
    }

    /** Discovery takes longer for all of them than news may: nobody waits for good. */
    @Test
    public void aFleetThatAsksForMoreThanDiscoveryBearsIsServedAllTheSame() {
        for (int downMs : new int[] {0, 8_000}) {
            for (boolean alsoInVain : new boolean[] {false, true}) {
                int[] known = knownAfter(fleet(120), downMs, 8_000 / 120.0, alsoInVain);
                assertTrue(Arrays.toString(known), known[119] < 6 * PERIOD_S * 1000);
                assertTrue(Arrays.toString(known), known[60] < 2 * PERIOD_S * 1000);
            }
        }
    }
}
