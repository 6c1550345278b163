package trailthread;

import static org.junit.Assert.assertTrue;
import static trailthread.Script.MS;

import org.junit.Test;
import trailthread.BalancerApi.Outcome;

/** What a time-out says of a backend. */
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

    /** A network that loses answers struck all backends alike, one after the other: soon none was open. */
    @Test
    public void oneLostAnswerDoesNotPassForAJam() {
        s.backends("a", "b", "c", "d");
        serve(200);
        timeOut();
        assertTrue(s.log.toString(), !rested());
    }

    /** In a jam nothing else comes back, so those that follow must count. */
    @Test
    public void timeOutsInARowStillDo() {
        s.backends("a", "b", "c", "d");
        serve(200);
        for (int i = 0; i < 12 && !rested(); i++) {
            timeOut();
        }
        assertTrue(s.log.toString(), rested());
    }
}
