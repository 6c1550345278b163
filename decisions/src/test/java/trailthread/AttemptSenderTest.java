package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Outcome;

/** The conditions for sending an attempt, and what each attempt counts against. */
class AttemptSenderTest {
    private final WiredModules modules = new WiredModules();
    private final Endpoint warm = WiredModules.endpoint("a", 0);
    private final AttemptSender sender =
            new AttemptSender(
                    modules.admissions,
                    modules.retries,
                    modules.inFlight,
                    modules.slowStart,
                    modules.outliers,
                    modules.picker,
                    modules.actions);

    @Test
    void anAttemptIsSentAndCountsAsInFlight() {
        modules.useSubset(1, warm);
        Request request = modules.request("unsafe");
        assertTrue(sender.trySend(request, NOW));
        ScriptedBalancer.Send send = modules.actions.sends.get(0);
        assertEquals("a", send.endpoint());
        assertEquals(request.deadline, send.writeDeadline());
        assertEquals(1, modules.inFlight.total());
        assertFalse(sender.trySend(request, NOW), "one attempt at a time");
    }

    /** The window is that of the first attempt, not of the one that is about to be sent. */
    @Test
    void aRetryMustBeWrittenWithinTheDeduplicationWindow() {
        modules.useSubset(1, warm);
        Request request = modules.request("keyed", 0, NOW + 9000 * MS);
        modules.attempt(request, warm, Outcome.ERROR, NOW);
        assertTrue(sender.trySend(request, NOW + 500 * MS));
        assertEquals(NOW + 2000 * MS, modules.actions.sends.get(0).writeDeadline());
    }

    @Test
    void nothingIsSentWithoutALeaseOnTheEndpointList() {
        modules.useSubset(1, warm);
        modules.admissions.setListLeaseEnd(NOW);
        assertFalse(sender.trySend(modules.request("safe"), NOW));
        assertTrue(modules.actions.sends.isEmpty());
    }

    /** The bucket holds one token for each starting endpoint; a warm one needs none. */
    @Test
    void anAttemptAtAStartingEndpointTakesAToken() {
        long readyAt = NOW - 15_000 * MS;
        Endpoint starting =
                WiredModules.endpoint(
                        new EndpointEntry("b", 1, EndpointState.READY, "here", readyAt, 0));
        modules.useSubset(1, starting);
        assertTrue(sender.trySend(modules.request("safe"), NOW));
        assertFalse(sender.trySend(modules.request("safe"), NOW));
        modules.useSubset(1, warm);
        assertTrue(sender.trySend(modules.request("safe"), NOW));
        assertTrue(sender.trySend(modules.request("safe"), NOW));
    }
}
