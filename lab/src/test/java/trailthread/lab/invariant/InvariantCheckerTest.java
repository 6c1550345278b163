package trailthread.lab.invariant;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.lab.invariant.InvariantChecker.ServerLocation;

/** For each rule a violation that must be caught, and a near miss that must pass. */
public class InvariantCheckerTest {
    private static final ServerLocation A = new ServerLocation("a", "east", 0);
    private static final ServerLocation SAME_CELL = new ServerLocation("b", "west", 0);
    private static final ServerLocation OTHER = new ServerLocation("c", "east", 1);
    private final InvariantChecker checker = new InvariantChecker(10, 100);

    private void receive(Idempotency idempotency, DeduplicationScope deduplicationScope) {
        checker.requestReceived(
                0, "7", "n0", new RequestTerms("c", idempotency, deduplicationScope, 500, 1000));
    }

    /** One attempt that runs and ends so. */
    private void attempt(
            long at, int number, ServerLocation location, boolean runs, Outcome outcome) {
        checker.attemptSent(at, "7", number, "n0", location);
        if (runs) {
            checker.executionStarted(at + 1, "7", number);
        }
        checker.attemptEnded(at + 2, "7", number, outcome);
    }

    private void broken(Invariant... rules) {
        Map<Invariant, Integer> seen = checker.violationCounts();
        assertEquals(checker.violations().toString(), rules.length, seen.size());
        for (Invariant rule : rules) {
            assertEquals(rule.name(), Integer.valueOf(1), seen.get(rule));
        }
    }

    @Test
    public void aSecondAnswer() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.attemptSent(1, "7", 0, "n0", A); // still out, so that the call is not over
        checker.responded(5, "7", "refused");
        broken();
        checker.responded(6, "7", "failed");
        broken(Invariant.ONE_ANSWER);
        assertTrue(
                checker.violations().get(0).describe(),
                checker.violations().get(0).describe().contains("refused"));
    }

    @Test
    public void anAnswerAfterTheEnd() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.responded(5, "7", "refused");
        checker.responded(6, "7", "refused");
        broken(Invariant.ONE_ANSWER);
    }

    @Test
    public void noAnswer() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.deadlineMissed(1011, "7");
        broken(Invariant.IN_TIME);
    }

    @Test
    public void noAnswerByTheEndOfTheRun() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.finish(2000);
        broken(Invariant.IN_TIME);
        assertEquals(0, checker.openRequests());
    }

    @Test
    public void anAnswerWithinTheSlackAndOneAfter() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.responded(1010, "7", "failed");
        broken();
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.responded(1011, "7", "failed");
        broken(Invariant.IN_TIME);
    }

    @Test
    public void aClientThatLeftIsOwedNothing() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.clientDisconnected(500, "7");
        checker.deadlineMissed(1011, "7");
        checker.finish(2000);
        broken();
    }

    @Test
    public void anUnsafeCallThatMayHaveRunTwice() {
        receive(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        attempt(1, 0, A, true, Outcome.RESET);
        attempt(10, 1, OTHER, true, Outcome.OK);
        broken(Invariant.REPEATS);
    }

    @Test
    public void anUnsafeCallThatWasTurnedAwayMayGoOn() {
        receive(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        attempt(1, 0, A, false, Outcome.REJECTED);
        attempt(10, 1, OTHER, false, Outcome.CONNECT_FAILED);
        attempt(20, 2, OTHER, true, Outcome.OK);
        broken();
    }

    /** What a node believes of an end does not count: it calls a reset a failed connect. */
    @Test
    public void aNodeThatTakesWhatRanForWhatDidNot() {
        receive(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        attempt(1, 0, A, true, Outcome.CONNECT_FAILED);
        attempt(10, 1, A, true, Outcome.OK);
        broken(Invariant.REPEATS);
    }

    @Test
    public void aKeyedCallWithinItsCellAndOutside() {
        receive(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL);
        attempt(1, 0, A, true, Outcome.RESET);
        attempt(10, 1, SAME_CELL, true, Outcome.RESET);
        broken();
        attempt(20, 2, OTHER, true, Outcome.OK);
        broken(Invariant.REPEATS);
    }

    @Test
    public void aKeyedCallWithinItsZoneAndOutside() {
        receive(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE);
        attempt(1, 0, A, true, Outcome.RESET);
        attempt(10, 1, OTHER, true, Outcome.RESET);
        broken();
        attempt(20, 2, SAME_CELL, true, Outcome.OK);
        broken(Invariant.REPEATS);
    }

    @Test
    public void aKeyedCallWithinItsWindowAndAfter() {
        receive(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL);
        attempt(1, 0, A, true, Outcome.RESET);
        attempt(490, 1, OTHER, true, Outcome.RESET);
        broken();
        attempt(501, 2, OTHER, true, Outcome.OK);
        broken(Invariant.REPEATS);
    }

    @Test
    public void twoAttemptsAtOnce() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.attemptSent(1, "7", 0, "n0", A);
        checker.attemptEnded(5, "7", 0, Outcome.TIMEOUT);
        checker.attemptSent(5, "7", 1, "n0", OTHER);
        broken();
        checker.attemptSent(6, "7", 2, "n0", SAME_CELL);
        broken(Invariant.ONE_ATTEMPT);
    }

    /** As by a node that was stopped, and reads what came meanwhile. */
    @Test
    public void aCallWhoseClientLeftIsStillRepeatedOnlyAsItsClassAllows() {
        receive(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        checker.clientDisconnected(500, "7");
        attempt(600, 0, A, true, Outcome.RESET);
        checker.responded(610, "7", "failed");
        broken();
        attempt(620, 1, OTHER, true, Outcome.OK);
        broken(Invariant.REPEATS);
    }

    @Test
    public void anAttemptForACallThatIsOver() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.responded(5, "7", "refused");
        checker.attemptSent(6, "7", 0, "n0", A);
        broken(Invariant.REPEATS);
    }

    @Test
    public void somethingNewAfterTheGraceOfADrain() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.endpointStateReceived(50, "n0", "a", false);
        checker.endpointStateReceived(140, "n0", "a", false); // told again: the first news counts
        attempt(150, 0, A, true, Outcome.RESET);
        broken();
        checker.attemptSent(151, "7", 1, "n1", A); // another node, which has not heard
        checker.attemptEnded(152, "7", 1, Outcome.RESET);
        broken();
        attempt(153, 2, A, true, Outcome.RESET);
        broken(Invariant.DRAINS);
    }

    @Test
    public void aReadyServerAcceptsRequestsAgain() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.endpointStateReceived(50, "n0", "a", false);
        checker.endpointStateReceived(200, "n0", "a", true);
        attempt(300, 0, A, true, Outcome.OK);
        broken();
    }

    @Test
    public void anAnswerThatWasMadeForAnother() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        attempt(1, 0, A, true, Outcome.OK);
        checker.responded(5, "7", "served");
        broken();
        checker.wrongResponse(5, "7", "8 w1");
        broken(Invariant.OWN_ANSWER);
    }

    @Test
    public void aConnectionThatItsNodeEnds() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.connectionLost(5, "7", "the connection ended without an answer");
        checker.deadlineMissed(1100, "7"); // the call is over: once is enough
        broken(Invariant.ONE_ANSWER);
    }

    @Test
    public void aColdServerOverloaded() {
        checker.coldServerOverloaded(9, "a");
        broken(Invariant.COLD_STARTS);
    }
}
