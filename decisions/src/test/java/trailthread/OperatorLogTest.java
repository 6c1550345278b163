package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.api.ListKind;
import trailthread.api.Outcome;

/** The log lines for operators that on-call.md names, and their limited rate. */
final class OperatorLogTest {
    private static long lines(ScriptedBalancer s, String start) {
        return s.log.stream().filter(line -> line.startsWith(start)).count();
    }

    @Test
    void normalServiceLogsNothing() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        for (int i = 0; i < 200; i++) {
            long id = s.request("safe");
            s.advance(20 * MS);
            s.end(id, Outcome.OK);
        }
        assertEquals(List.of(), s.log);
    }

    @Test
    void anEjectionIsLoggedWithItsEndpoint() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b", "c");
        for (int i = 0; i < 100; i++) {
            long id = s.request("unsafe");
            boolean fails = s.sendsOf(id).get(0).endpoint().equals("a");
            s.advance(fails ? MS : 20 * MS);
            s.end(id, fails ? Outcome.ERROR : Outcome.OK);
        }
        assertEquals(1, lines(s, "ejected a after failures in a row: 3"), s.log.toString());
    }

    @Test
    void suspendedEjectionIsLoggedAtALimitedRate() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        long from = s.now;
        for (int i = 0; i < 300; i++) {
            long id = s.request("unsafe");
            s.advance(20 * MS);
            s.end(id, Outcome.ERROR);
        }
        long seconds = (s.now - from) / (1000 * MS);
        assertTrue(lines(s, "ejecting none: most of 2 backends fail") >= 1, s.log.toString());
        assertTrue(
                s.log.size() <= 2 * (seconds + 1), "lines in " + seconds + " s: " + s.log.size());
    }

    @Test
    void aCongestedEndpointIsLogged() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        for (int i = 0; i < 500; i++) {
            long id = s.request("safe");
            boolean slow = i > 300 && s.sendsOf(id).get(0).endpoint().equals("a");
            s.advance(slow ? 150 * MS : 20 * MS);
            s.end(id, Outcome.OK);
        }
        assertTrue(lines(s, "resting a: jammed") >= 1, s.log.toString());
        assertEquals(0, lines(s, "resting b"), s.log.toString());
    }

    @Test
    void rejectionsAreLoggedAtALimitedRate() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints();
        for (int i = 0; i < 50; i++) {
            s.request("safe");
            s.advance(10 * MS);
        }
        s.advance(3000 * MS);
        assertEquals(50, s.rejected.size());
        long logged = lines(s, "turning requests away: no backend is open, held ");
        assertTrue(logged >= 1 && logged <= 2, s.log.toString());
    }

    @Test
    void aFailedListPollIsLoggedOnce() {
        ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 5);
        s.endpoints("a", "b");
        s.balancer.updateEndpointList(s.now, ListKind.FAILED, List.of());
        s.balancer.updateEndpointList(s.now, ListKind.FAILED, List.of());
        assertEquals(List.of("list call failed: going on with the last list of 2"), s.log);
    }
}
