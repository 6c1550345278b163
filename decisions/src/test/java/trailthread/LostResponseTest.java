package trailthread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static trailthread.ScriptedBalancer.MS;

import java.util.ArrayDeque;
import org.junit.Test;
import trailthread.api.Outcome;

/** How a timeout and a lost response change the treatment of an endpoint. */
public class LostResponseTest {
    private final ScriptedBalancer s = new ScriptedBalancer(ScriptedBalancer.settings(), 7);

    private void serve(int requests) {
        for (int i = 0; i < requests; i++) {
            long id = s.request("unsafe");
            s.advance(20 * MS);
            s.end(id, Outcome.OK);
        }
    }

    private boolean isCongestionLogged() {
        return s.log.stream().anyMatch(line -> line.startsWith("resting"));
    }

    private void timeOut() {
        long id = s.request("unsafe");
        s.advance(1000 * MS);
        s.end(id, Outcome.TIMEOUT);
    }

    /**
     * Prevents a network that loses responses from getting all endpoints ejected, one after the
     * other.
     */
    @Test
    public void oneLostResponseIsNotTakenForCongestion() {
        s.endpoints("a", "b", "c", "d");
        serve(200);
        timeOut();
        assertTrue(s.log.toString(), !isCongestionLogged());
    }

    /**
     * A congested endpoint that no longer responds shows it only by timeouts, so those after the
     * first must count.
     */
    @Test
    public void timeoutsInARowAreTakenForCongestion() {
        s.endpoints("a", "b", "c", "d");
        serve(200);
        for (int i = 0; i < 12 && !isCongestionLogged(); i++) {
            timeOut();
        }
        assertTrue(s.log.toString(), isCongestionLogged());
    }

    /** Prevents one lost response from blocking its endpoint until the client gives up. */
    @Test
    public void anEndpointThatDoesNotRespondGetsAnIdempotentTrial() {
        s.endpoints("a");
        serve(200);
        s.request("unsafe");
        s.advance(70 * MS);
        assertEquals(
                "an unsafe request waits for the trial", 0, s.sendsOf(s.request("unsafe")).size());
        long trial = s.request("safe");
        assertEquals(1, s.sendsOf(trial).size());
        s.advance(20 * MS);
        s.end(trial, Outcome.OK);
        assertEquals("the request that waited is sent", 1, s.sendsOf(trial - 1).size());
        assertEquals(1, s.sendsOf(s.request("unsafe")).size());
    }

    /** Delays below the latency resolution (200 ms / 50) are ignored, however fast the endpoint. */
    @Test
    public void aFastEndpointIsNotTakenForOneThatDoesNotRespond() {
        s.endpoints("a");
        for (int i = 0; i < 200; i++) {
            long id = s.request("unsafe");
            s.advance(MS);
            s.end(id, Outcome.OK);
        }
        s.request("safe");
        s.advance(5 * MS);
        assertEquals(1, s.sendsOf(s.request("unsafe")).size());
    }

    /** Each trial without a response doubles the wait for the next. */
    @Test
    public void trialsOfAnEndpointThatDoesNotRespondBackOff() {
        s.endpoints("a");
        serve(200);
        int before = s.sends.size();
        for (int i = 0; i < 100; i++) {
            s.request("safe");
            s.advance(10 * MS);
        }
        int trials = s.sends.size() - before;
        assertTrue("sent in a second: " + trials, trials >= 3 && trials <= 8);
    }

    /** Prevents lost responses, one in five here, from filling the concurrency limits. */
    @Test
    public void attemptsOvertakenByALaterResponseFillNoLimit() {
        s.endpoints("a", "b");
        serve(400);
        int rejected = s.rejected.size();
        ArrayDeque<ScriptedBalancer.Send> inFlight = new ArrayDeque<>();
        int seen = s.sends.size();
        for (int i = 0; i < 600; i++) {
            s.request("unsafe");
            s.advance(10 * MS);
            for (; seen < s.sends.size(); seen++) {
                if (s.sends.get(seen).id() % 5 != 0) {
                    inFlight.add(s.sends.get(seen));
                }
            }
            while (!inFlight.isEmpty() && inFlight.peek().at() <= s.now - 20 * MS) {
                s.end(inFlight.remove().id(), Outcome.OK);
            }
        }
        assertTrue(
                "refused of 600: " + (s.rejected.size() - rejected),
                s.rejected.size() - rejected < 30);
    }
}
