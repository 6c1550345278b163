package trailthread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static trailthread.Script.MS;

import java.util.List;
import org.junit.Test;
import trailthread.BalancerApi.Group;
import trailthread.BalancerApi.Outcome;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Semantics;
import trailthread.BalancerApi.Settings;

/**
 * A request that nobody means to send any more is answered at once; it was once held to its
 * deadline.
 */
public class HeldTest {
    private final Script s;

    public HeldTest() {
        Settings settings = new Settings();
        settings.retryAfter = true;
        settings.maxRetryAfterNs = 500 * MS;
        settings.connectTimeoutNs = 100 * MS;
        settings.classes.add(
                new RequestClass(
                        "unsafe", 200 * MS, 0, 1000 * MS, Semantics.UNSAFE, Group.ALL, 0, 1, 0));
        settings.classes.add(
                new RequestClass(
                        "keyed",
                        800 * MS,
                        0,
                        1000 * MS,
                        Semantics.KEYED,
                        Group.CELL,
                        300 * MS,
                        1,
                        0));
        s = new Script(settings, 7);
    }

    @Test
    public void pastItsAimItIsRefusedWithAdvice() {
        s.backends();
        long id = s.request("unsafe");
        s.pass(199 * MS);
        assertTrue("it may yet earn", s.refused.isEmpty());
        s.pass(MS);
        assertEquals(List.of(id), s.refused);
        assertTrue(s.stayAway > 0);
    }

    @Test
    public void aLateRejectionWithNowhereToGoIsAnsweredThere() {
        s.backends("a");
        long id = s.request("unsafe");
        s.pass(250 * MS);
        s.backends();
        s.end(id, Outcome.FULL);
        assertEquals(List.of(id), s.refused);
    }

    /** With no backend ready the node once rested for many latencies after its last outcome. */
    @Test
    public void itGoesOutAsSoonAsABackendIsReadyAgain() {
        s.backends("a");
        long id = s.request("keyed");
        s.backends();
        s.end(id, Outcome.FULL);
        s.pass(10 * MS);
        s.backends("b");
        assertEquals("b", s.sendsOf(id).get(1).backend());
    }

    @Test
    public void pastTheWindowThatDropsRepeatsItFails() {
        s.backends("a");
        long id = s.request("keyed");
        s.backends();
        s.end(id, Outcome.ERROR);
        s.pass(199 * MS);
        assertTrue("a backend of its cell may yet come", s.failed.isEmpty());
        s.pass(MS);
        assertEquals("it may have run, so it is not refused", List.of(id), s.failed);
    }

    /** Idle latencies of 95 ms, past the usual share of the aim, 80: nobody is crowded. */
    @Test
    public void nothingIsHeldBackFromWorkersThatAreFar() {
        Script s = new Script(Script.settings(), 7);
        s.backends("a", "b");
        int ended = 0;
        for (int step = 0; step < 4000; step++) {
            if (step % 8 == 0) {
                s.request("safe");
            }
            s.pass(5 * MS);
            while (ended < s.sends.size() && s.sends.get(ended).at() <= s.now - 95 * MS) {
                s.end(s.sends.get(ended++).id(), Outcome.OK);
            }
        }
        assertTrue("refused of 500, at the start: " + s.refused.size(), s.refused.size() < 25);
    }
}
