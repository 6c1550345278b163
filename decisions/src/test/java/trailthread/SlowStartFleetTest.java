package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.Script.MS;

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
 * Half of the workers start anew under a burst, and nodes do not talk: what all of them send to one
 * of these, in virtual time, against what the settings let it bear.
 */
public class SlowStartFleetTest {
    private static final int WORKERS = 24;
    private static final int STARTED = 12;

    /** What a warm worker does in a second, one after another. */
    private static final double WARM_PER_S = 50;

    private static final long STARTS_AT_MS = 15_000;
    private static final long ENDS_AT_MS = 27_000;
    private static final long FALL_MS = 3_000;
    private static final double MULTIPLE = 1;
    private static final double COLD_SHARE = 0.2;
    private static final long COLD_MS = 10_000;

    private record Answer(long at, long id) {}

    /**
     * When one node of so many sends to each of those that start, in milliseconds from the
     * beginning.
     */
    private static void play(
            int nodes, int me, long seed, Map<String, NavigableMap<Long, Integer>> sent) {
        Settings settings = Script.settings();
        settings.nodes = nodes;
        settings.me = me;
        settings.overloadMultiple = MULTIPLE;
        settings.overloadWindowNs = FALL_MS * MS;
        settings.slowStartInitialShare = COLD_SHARE;
        settings.slowStartNs = COLD_MS * MS;
        SplittableRandom random = new SplittableRandom(seed * 1_000 + me);
        Script s = new Script(settings, random.nextLong());
        long start = s.now;
        list(s, 0);
        double part = 2 * random.nextDouble(); // traffic is spread unevenly
        PriorityQueue<Answer> answers = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        int seen = 0;
        boolean started = false;
        for (long at = 0; at < ENDS_AT_MS; at += 5) {
            s.pass(start + at * MS - s.now);
            if (!started && at >= STARTS_AT_MS) {
                started = true;
                list(s, start + STARTS_AT_MS * MS);
            }
            while (!answers.isEmpty() && answers.peek().at() <= at) {
                s.end(answers.poll().id(), Outcome.OK);
            }
            double load = at < STARTS_AT_MS ? 0.5 : 0.8; // of what all bear, when warm
            if (random.nextDouble() < load * part * WORKERS * WARM_PER_S / nodes * 0.005) {
                s.request("safe");
            }
            for (; seen < s.sends.size(); seen++) {
                Script.Send send = s.sends.get(seen);
                answers.add(new Answer(at + 15 + random.nextInt(15), send.id()));
                if (send.endpoint().startsWith("started")) {
                    sent.computeIfAbsent(send.endpoint(), none -> new TreeMap<>())
                            .merge(at, 1, Integer::sum);
                }
            }
        }
    }

    private static void list(Script s, long readyAt) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            entries.add(
                    readyAt == 0 || i >= STARTED
                            ? Script.ready("warm-" + i)
                            : new EndpointEntry(
                                    "started-" + i, 1, EndpointState.READY, "here", readyAt, 0));
        }
        s.balancer.list(s.now, ListKind.FULL, entries);
    }

    /** Past what a cold one bears, twice the root of that and two are chance; beyond, it falls. */
    @Test
    public void noneFallsUnderTheSumOfAllNodes() {
        for (int nodes : new int[] {20, 30, 120}) {
            for (long seed = 1; seed <= 3; seed++) {
                Map<String, NavigableMap<Long, Integer>> sent = new HashMap<>();
                for (int me = 0; me < nodes; me++) {
                    play(nodes, me, seed, sent);
                }
                assertTrue("they are used", sent.size() == STARTED);
                for (Map.Entry<String, NavigableMap<Long, Integer>> e : sent.entrySet()) {
                    for (long at : e.getValue().keySet()) {
                        int count =
                                e.getValue().subMap(at - FALL_MS, false, at, true).values().stream()
                                        .mapToInt(Integer::intValue)
                                        .sum();
                        double age = Math.min(1, (double) (at - STARTS_AT_MS) / COLD_MS);
                        double warm = COLD_SHARE + (1 - COLD_SHARE) * age;
                        double bears = MULTIPLE * warm * WARM_PER_S * FALL_MS / 1_000;
                        assertTrue(
                                nodes
                                        + " nodes sent it "
                                        + count
                                        + " by "
                                        + at
                                        + " ms, it bears "
                                        + bears,
                                count <= bears + 2 * Math.sqrt(bears) + 2);
                    }
                }
            }
        }
    }
}
