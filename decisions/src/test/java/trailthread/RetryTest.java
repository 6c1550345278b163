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
 * What follows an attempt's end, by outcome and class: another one, and until when; a refusal; a
 * failure.
 */
public class RetryTest {
    private static final long MS = Script.MS;
    private static final List<String> CLASSES =
            List.of("safe", "keyed", "keyed-everywhere", "unsafe");
    private static final List<Outcome> NEVER_RAN =
            List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT);
    private static final List<Outcome> MAY_HAVE_RUN =
            List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED);

    private static RequestClass keyed(
            String name, DeduplicationScope group, long deduplicationWindowNs) {
        return new RequestClass(
                name,
                200 * MS,
                0,
                1000 * MS,
                Idempotency.IDEMPOTENCY_KEY,
                group,
                deduplicationWindowNs,
                1,
                0.2);
    }

    private static Script script(int attempts) {
        Settings settings = Script.settings();
        settings.classes.add(keyed("keyed-everywhere", DeduplicationScope.ALL, 2000 * MS));
        settings.maxAttempts = attempts;
        Script script = new Script(settings, 1);
        script.endpoints("a", "b");
        return script;
    }

    @Test
    public void whatNeverRanIsSentAgainOrRefused() {
        for (Outcome outcome : NEVER_RAN) {
            for (String name : CLASSES) {
                assertEquals(name + " " + outcome, "again", after(name, outcome, 3));
                assertEquals(name + " " + outcome, "refused", after(name, outcome, 1));
            }
        }
    }

    @Test
    public void whatMayHaveRunIsSentAgainOrRefusedByItsClass() {
        for (Outcome outcome : MAY_HAVE_RUN) {
            String[][] cases = {
                {"safe", "again", "refused"},
                {"keyed", "again", "failed"},
                {"keyed-everywhere", "again", "refused"},
                {"unsafe", "failed", "failed"}
            };
            for (String[] c : cases) {
                assertEquals(c[0] + " " + outcome, c[1], after(c[0], outcome, 3));
                assertEquals(c[0] + " " + outcome, c[2], after(c[0], outcome, 1));
            }
        }
    }

    private static String after(String name, Outcome outcome, int attempts) {
        Script s = script(attempts);
        long id = s.request(name);
        s.end(id, outcome);
        return s.sendsOf(id).size() > 1 ? "again" : s.refused.contains(id) ? "refused" : "failed";
    }

    /** Its window was looked at when it was decided, and may have passed when it was written. */
    @Test
    public void aRepeatIsWrittenWithinTheWindowOfTheFirstThatMayHaveRun() {
        for (String name : CLASSES) {
            for (boolean ran : new boolean[] {true, false}) {
                Settings settings = Script.settings();
                settings.classes.removeIf(c -> c.name().equals("keyed"));
                settings.classes.add(keyed("keyed", DeduplicationScope.CELL, 400 * MS));
                settings.classes.add(keyed("keyed-everywhere", DeduplicationScope.ALL, 400 * MS));
                settings.maxAttempts = 6;
                Script s = new Script(settings, 1);
                s.endpoints("a", "b", "c", "d");
                long id = s.request(name);
                long deadline = s.now + 1000 * MS;
                s.pass(10 * MS);
                s.end(id, Outcome.REJECTED);
                long second = s.now;
                s.pass(20 * MS);
                s.end(id, ran && !name.equals("unsafe") ? Outcome.ERROR : Outcome.REJECTED);
                List<Script.Send> sends = s.sendsOf(id);
                assertTrue(name, sends.size() >= 3);
                boolean bound = ran && name.startsWith("keyed");
                assertEquals(name, deadline, sends.get(0).writtenBy());
                assertEquals(name, deadline, sends.get(1).writtenBy());
                assertEquals(name, bound ? second + 400 * MS : deadline, sends.get(2).writtenBy());
            }
        }
    }
}
