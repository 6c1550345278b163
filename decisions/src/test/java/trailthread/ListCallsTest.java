package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.Script.MS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.Test;
import trailthread.BalancerApi.ListKind;
import trailthread.BalancerApi.Settings;

/** Calls for the list that fail at all nodes at once, as when discovery sheds them or they wait in vain. */
public class ListCallsTest {
    private static final int NODES = 96;
    private static final int PERIOD_S = 10;

    /** In each second of a minute: the calls of a fleet whose watches break at once, and which fail again. */
    private static int[] callsOfAFleet() {
        int[] calls = new int[60];
        List<Script> nodes = new ArrayList<>();
        for (int me = 0; me < NODES; me++) {
            Settings settings = Script.settings();
            settings.nodes = NODES;
            settings.me = me;
            settings.listOnRequest = true;
            settings.askEveryNs = PERIOD_S * 1000 * MS;
            Script s = new Script(settings, me);
            s.backends("a");
            s.balancer.list(s.now, ListKind.FAILED, List.of());
            nodes.add(s);
        }
        for (Script s : nodes) {
            int last = 0;
            for (int tick = 0; tick < 600; tick++) {
                int before = s.watches;
                s.pass(100 * MS);
                if (s.watches > before) {
                    calls[tick / 10]++;
                    assertTrue("deemed told at four periods", tick - last < 4 * 10 * PERIOD_S);
                    last = tick;
                    s.balancer.list(s.now, ListKind.FAILED, List.of());
                }
            }
        }
        return calls;
    }

    /** All came back within a second, and again every 2.5 s: the calls of one wave died behind the last. */
    @Test
    public void theyComeBackSpreadAndEverSlower() {
        int[] calls = callsOfAFleet();
        String all = Arrays.toString(calls);
        assertTrue(all, Arrays.stream(calls).max().orElseThrow() <= NODES / 3);
        assertTrue("most know within a period: " + all, Arrays.stream(calls, 0, PERIOD_S).sum() > NODES / 2);
        assertTrue("one in two periods: " + all, Arrays.stream(calls, 20, 60).sum() < NODES * 40 / PERIOD_S);
    }
}
