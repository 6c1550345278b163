package trailthread;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * What follows the end of an attempt, by outcome and class: a retry with its write deadline, a
 * rejection, or a failure.
 */
public class RetryTest {
    private static final long MS = ScriptedBalancer.MS;
    private static final List<String> CLASSES =
            List.of("safe", "keyed", "keyed-everywhere", "unsafe");
    private static final List<Outcome> NEVER_RAN =
            List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT);
    private static final List<Outcome> MAY_HAVE_RUN =
            List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED);

    private static RequestClass keyed(
            String name, DeduplicationScope scope, long deduplicationWindowNs) {
        return new RequestClass(
                name,
                200 * MS,
                0,
                1000 * MS,
                Idempotency.IDEMPOTENCY_KEY,
                scope,
                deduplicationWindowNs,
                1,
                0.2);
    }

    private static ScriptedBalancer script(int attempts) {
        Settings settings = ScriptedBalancer.settings();
        settings.classes.add(keyed("keyed-everywhere", DeduplicationScope.ALL, 2000 * MS));
        settings.maxAttempts = attempts;
        ScriptedBalancer script = new ScriptedBalancer(settings, 1);
        script.endpoints("a", "b");
        return script;
    }

    @Test
    public void anAttemptThatNeverRanIsRetriedOrTheRequestRejected() {
        for (Outcome outcome : NEVER_RAN) {
            for (String name : CLASSES) {
                assertEquals(name + " " + outcome, "retried", resultAfter(name, outcome, 3));
                assertEquals(name + " " + outcome, "refused", resultAfter(name, outcome, 1));
            }
        }
    }

    @Test
    public void anAttemptThatMayHaveRunIsRetriedByTheIdempotencyOfItsClass() {
        for (Outcome outcome : MAY_HAVE_RUN) {
            String[][] cases = {
                {"safe", "retried", "refused"},
                {"keyed", "retried", "failed"},
                {"keyed-everywhere", "retried", "refused"},
                {"unsafe", "failed", "failed"}
            };
            for (String[] c : cases) {
                assertEquals(c[0] + " " + outcome, c[1], resultAfter(c[0], outcome, 3));
                assertEquals(c[0] + " " + outcome, c[2], resultAfter(c[0], outcome, 1));
            }
        }
    }

    private static String resultAfter(String name, Outcome outcome, int attempts) {
        ScriptedBalancer s = script(attempts);
        long id = s.request(name);
        s.end(id, outcome);
        return s.sendsOf(id).size() > 1
                ? "retried"
                : s.rejected.contains(id) ? "refused" : "failed";
    }

    /** Prevents a retry that was decided within the window from being written after its end. */
    @Test
    public void aRetryIsWrittenWithinTheDeduplicationWindowOfTheFirstThatMayHaveRun() {
        for (String name : CLASSES) {
            for (boolean mayHaveRun : new boolean[] {true, false}) {
                Settings settings = ScriptedBalancer.settings();
                settings.classes.removeIf(c -> c.name().equals("keyed"));
                settings.classes.add(keyed("keyed", DeduplicationScope.CELL, 400 * MS));
                settings.classes.add(keyed("keyed-everywhere", DeduplicationScope.ALL, 400 * MS));
                settings.maxAttempts = 6;
                ScriptedBalancer s = new ScriptedBalancer(settings, 1);
                s.endpoints("a", "b", "c", "d");
                long id = s.request(name);
                long deadline = s.now + 1000 * MS;
                s.advance(10 * MS);
                s.end(id, Outcome.REJECTED);
                long second = s.now;
                s.advance(20 * MS);
                s.end(id, mayHaveRun && !name.equals("unsafe") ? Outcome.ERROR : Outcome.REJECTED);
                List<ScriptedBalancer.Send> sends = s.sendsOf(id);
                assertTrue(name, sends.size() >= 3);
                boolean isBoundByWindow = mayHaveRun && name.startsWith("keyed");
                assertEquals(name, deadline, sends.get(0).writeDeadline());
                assertEquals(name, deadline, sends.get(1).writeDeadline());
                assertEquals(
                        name,
                        isBoundByWindow ? second + 400 * MS : deadline,
                        sends.get(2).writeDeadline());
            }
        }
    }
}
