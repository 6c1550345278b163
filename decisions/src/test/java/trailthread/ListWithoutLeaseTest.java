package trailthread;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;
import trailthread.api.Outcome;

/** What the balancer does while it holds no lease on the endpoint list. */
public class ListWithoutLeaseTest {
    private static final long MS = 1_000_000L;
    private final ScriptedBalancer script = new ScriptedBalancer(ScriptedBalancer.settings(), 1);

    public ListWithoutLeaseTest() {
        script.endpoints("a", "b", "c");
    }

    @Test
    public void requestsWaitForAQuarterOfTheTimeToTheirDeadlineAndAreRejected() {
        script.balancer.setListLeaseEnd(script.now, Long.MIN_VALUE);
        long id = script.request("unsafe");
        script.advance(249 * MS); // of 1,000
        assertEquals(List.of(), script.rejected);
        script.advance(1 * MS);
        assertEquals(List.of(id), script.rejected);
        assertEquals(List.of(), script.sends);
    }

    @Test
    public void queuedRequestsAreSentOnceTheListIsConfirmed() {
        script.balancer.setListLeaseEnd(script.now, Long.MIN_VALUE);
        long id = script.request("unsafe");
        script.advance(100 * MS);
        script.balancer.setListLeaseEnd(script.now, script.now + 6_000 * MS);
        assertEquals(1, script.sendsOf(id).size());
    }

    @Test
    public void nothingIsRetriedAfterTheLeaseHasExpired() {
        script.balancer.setListLeaseEnd(script.now, script.now + 50 * MS);
        long id = script.request("safe");
        script.advance(50 * MS);
        script.end(id, Outcome.RESET);
        script.advance(1_000 * MS);
        assertEquals(1, script.sendsOf(id).size());
        assertEquals(List.of(id), script.rejected);
    }
}
