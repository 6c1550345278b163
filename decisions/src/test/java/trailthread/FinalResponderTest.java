package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import java.util.List;
import org.junit.jupiter.api.Test;
import trailthread.api.Outcome;
import trailthread.api.Settings;

/** Rejections, failures and the spread of Retry-After. */
class FinalResponderTest {
    private final Settings settings = ScriptedBalancer.settings();
    private final WiredModules modules = new WiredModules(settings);
    private final FinalResponder responder =
            new FinalResponder(modules.settings, modules.actions, modules.random);

    private Request answered(String requestClass, Outcome outcome) {
        Request request = modules.request(requestClass);
        modules.attempt(request, WiredModules.endpoint("a", 0), outcome, NOW);
        responder.rejectOrFail(request);
        return request;
    }

    @Test
    void aRequestIsRejectedIfItMayBeSentAgainElseFailed() {
        Request rejected = answered("unsafe", Outcome.REJECTED);
        Request failed = answered("unsafe", Outcome.TIMEOUT);
        assertEquals(List.of(rejected.id), modules.actions.rejected);
        assertEquals(List.of(failed.id), modules.actions.failed);
        assertTrue(rejected.finished && failed.finished);
    }

    /** With the longest advice of 600 ms: from two thirds of it, 400 ms, up to all of it. */
    @Test
    void retryAfterIsSpreadBelowTheLongestThatClientsHonour() {
        settings.retryAfter = true;
        settings.maxRetryAfterNs = 600 * MS;
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < 200; i++) {
            answered("safe", Outcome.REJECTED);
            least = Math.min(least, modules.actions.lastRetryAfterNs);
            most = Math.max(most, modules.actions.lastRetryAfterNs);
        }
        assertTrue(least >= 400 * MS && least < 420 * MS, "least " + least);
        assertTrue(most <= 600 * MS && most > 580 * MS, "most " + most);
    }

    @Test
    void noAdviceIsGivenToClientsThatDoNotHonourIt() {
        settings.maxRetryAfterNs = 600 * MS;
        answered("safe", Outcome.REJECTED);
        assertEquals(0, modules.actions.lastRetryAfterNs);
    }
}
