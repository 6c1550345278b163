package trailthread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static trailthread.Script.MS;

import java.util.ArrayDeque;
import org.junit.Test;
import trailthread.api.Outcome;

/** What a time-out says of an endpoint. */
public class LostAnswerTest {
    private final Script s = new Script(Script.settings(), 7);

    private void serve(int requests) {
        for (int i = 0; i < requests; i++) {
            long id = s.request("unsafe");
            s.pass(20 * MS);
            s.end(id, Outcome.OK);
        }
    }

    private boolean rested() {
        return s.log.stream().anyMatch(line -> line.startsWith("resting"));
    }

    private void timeOut() {
        long id = s.request("unsafe");
        s.pass(1000 * MS);
        s.end(id, Outcome.TIMEOUT);
    }

    /**
     * A network that loses answers struck all endpoints alike, one after the other: soon none was
     * open.
     */
    @Test
    public void oneLostAnswerDoesNotPassForAJam() {
        s.endpoints("a", "b", "c", "d");
        serve(200);
        timeOut();
        assertTrue(s.log.toString(), !rested());
    }

    /** In a jam nothing else comes back, so those that follow must count. */
    @Test
    public void timeOutsInARowStillDo() {
        s.endpoints("a", "b", "c", "d");
        serve(200);
        for (int i = 0; i < 12 && !rested(); i++) {
            timeOut();
        }
        assertTrue(s.log.toString(), rested());
    }

    /** One lost answer closed its endpoint until the client quit: 25 usual times here. */
    @Test
    public void aSilentBackendGetsASafeTrialInBetween() {
        s.endpoints("a");
        serve(200);
        s.request("unsafe");
        s.pass(70 * MS);
        assertEquals("an unsafe one waits for the trial", 0, s.sendsOf(s.request("unsafe")).size());
        long trial = s.request("safe");
        assertEquals(1, s.sendsOf(trial).size());
        s.pass(20 * MS);
        s.end(trial, Outcome.OK);
        assertEquals("the one that waited goes out", 1, s.sendsOf(trial - 1).size());
        assertEquals(1, s.sendsOf(s.request("unsafe")).size());
    }

    /** Three milliseconds are nothing where the aim is 200, though answers usually take one. */
    @Test
    public void aQuickBackendIsNotSilentAtOnce() {
        s.endpoints("a");
        for (int i = 0; i < 200; i++) {
            long id = s.request("unsafe");
            s.pass(MS);
            s.end(id, Outcome.OK);
        }
        s.request("safe");
        s.pass(5 * MS);
        assertEquals(1, s.sendsOf(s.request("unsafe")).size());
    }

    /** A frozen endpoint answers none of its trials, and gets fewer and fewer. */
    @Test
    public void trialsOfASilentBackendGrowRare() {
        s.endpoints("a");
        serve(200);
        int before = s.sends.size();
        for (int i = 0; i < 100; i++) {
            s.request("safe");
            s.pass(10 * MS);
        }
        int trials = s.sends.size() - before;
        assertTrue("sent in a second: " + trials, trials >= 3 && trials <= 8);
    }

    /** With one answer in five lost, what waits for them once filled the limits. */
    @Test
    public void whatALaterAnswerOvertookFillsNoLimit() {
        s.endpoints("a", "b");
        serve(400);
        int refused = s.refused.size();
        ArrayDeque<Script.Send> out = new ArrayDeque<>();
        int seen = s.sends.size();
        for (int i = 0; i < 600; i++) {
            s.request("unsafe");
            s.pass(10 * MS);
            for (; seen < s.sends.size(); seen++) {
                if (s.sends.get(seen).id() % 5 != 0) {
                    out.add(s.sends.get(seen));
                }
            }
            while (!out.isEmpty() && out.peek().at() <= s.now - 20 * MS) {
                s.end(out.remove().id(), Outcome.OK);
            }
        }
        assertTrue(
                "refused of 600: " + (s.refused.size() - refused), s.refused.size() - refused < 30);
    }
}
