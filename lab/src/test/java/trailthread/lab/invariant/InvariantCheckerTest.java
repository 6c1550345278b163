package trailthread.lab.invariant;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.lab.invariant.InvariantChecker.ServerLocation;

/** For each invariant, a violation that must be detected and a near miss that must pass. */
public class InvariantCheckerTest {
    private static final ServerLocation A = new ServerLocation("a", "east", 0);
    private static final ServerLocation SAME_CELL = new ServerLocation("b", "west", 0);
    private static final ServerLocation OTHER = new ServerLocation("c", "east", 1);
    private final InvariantChecker checker = new InvariantChecker(10, 100);

    private void receive(Idempotency idempotency, DeduplicationScope deduplicationScope) {
        checker.requestReceived(
                0, "7", "n0", new RequestTerms("c", idempotency, deduplicationScope, 500, 1000));
    }

    /** An attempt that ends with this outcome. */
    private void attempt(
            long at, int number, ServerLocation location, boolean executes, Outcome outcome) {
        checker.attemptSent(at, "7", number, "n0", location);
        if (executes) {
            checker.attemptAccepted(at + 1, "7", number);
        }
        checker.attemptEnded(at + 2, "7", number, outcome);
    }

    private void assertViolations(Invariant... expected) {
        Map<Invariant, Integer> counts = checker.violationCounts();
        assertEquals(checker.violations().toString(), expected.length, counts.size());
        for (Invariant invariant : expected) {
            assertEquals(invariant.name(), Integer.valueOf(1), counts.get(invariant));
        }
    }

    @Test
    public void aSecondResponse() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        // Still in flight, so that the request has not ended.
        checker.attemptSent(1, "7", 0, "n0", A);
        checker.responded(5, "7", "refused");
        assertViolations();
        checker.responded(6, "7", "failed");
        assertViolations(Invariant.ONE_ANSWER);
        assertTrue(
                checker.violations().get(0).describe(),
                checker.violations().get(0).describe().contains("refused"));
    }

    @Test
    public void aResponseAfterTheRequestEnded() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.responded(5, "7", "refused");
        checker.responded(6, "7", "refused");
        assertViolations(Invariant.ONE_ANSWER);
    }

    @Test
    public void noResponse() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.deadlineMissed(1011, "7");
        assertViolations(Invariant.IN_TIME);
    }

    @Test
    public void noResponseByTheEndOfTheRun() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.finish(2000);
        assertViolations(Invariant.IN_TIME);
        assertEquals(0, checker.openRequests());
    }

    @Test
    public void responsesWithinAndAfterTheSlack() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.responded(1010, "7", "failed");
        assertViolations();
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.responded(1011, "7", "failed");
        assertViolations(Invariant.IN_TIME);
    }

    @Test
    public void aDisconnectedClientExpectsNoResponse() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.clientDisconnected(500, "7");
        checker.deadlineMissed(1011, "7");
        checker.finish(2000);
        assertViolations();
    }

    @Test
    public void aNonIdempotentRequestThatMayHaveRunTwice() {
        receive(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        attempt(1, 0, A, true, Outcome.RESET);
        attempt(10, 1, OTHER, true, Outcome.OK);
        assertViolations(Invariant.REPEATS);
    }

    @Test
    public void aNonIdempotentRequestMayBeRetriedAfterARejection() {
        receive(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        attempt(1, 0, A, false, Outcome.REJECTED);
        attempt(10, 1, OTHER, false, Outcome.CONNECT_FAILED);
        attempt(20, 2, OTHER, true, Outcome.OK);
        assertViolations();
    }

    /**
     * The checker does not rely on the outcome that a node reports: here the node reports a reset
     * connection as a failed connect.
     */
    @Test
    public void aNodeThatMistakesAnExecutedAttemptForAFailedConnect() {
        receive(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        attempt(1, 0, A, true, Outcome.CONNECT_FAILED);
        attempt(10, 1, A, true, Outcome.OK);
        assertViolations(Invariant.REPEATS);
    }

    @Test
    public void aKeyedRequestRepeatedWithinItsCellAndOutside() {
        receive(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL);
        attempt(1, 0, A, true, Outcome.RESET);
        attempt(10, 1, SAME_CELL, true, Outcome.RESET);
        assertViolations();
        attempt(20, 2, OTHER, true, Outcome.OK);
        assertViolations(Invariant.REPEATS);
    }

    @Test
    public void aKeyedRequestRepeatedWithinItsZoneAndOutside() {
        receive(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE);
        attempt(1, 0, A, true, Outcome.RESET);
        attempt(10, 1, OTHER, true, Outcome.RESET);
        assertViolations();
        attempt(20, 2, SAME_CELL, true, Outcome.OK);
        assertViolations(Invariant.REPEATS);
    }

    @Test
    public void aKeyedRequestRepeatedWithinItsWindowAndAfter() {
        receive(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL);
        attempt(1, 0, A, true, Outcome.RESET);
        attempt(490, 1, OTHER, true, Outcome.RESET);
        assertViolations();
        attempt(501, 2, OTHER, true, Outcome.OK);
        assertViolations(Invariant.REPEATS);
    }

    @Test
    public void twoAttemptsAtOnce() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.attemptSent(1, "7", 0, "n0", A);
        checker.attemptEnded(5, "7", 0, Outcome.TIMEOUT);
        checker.attemptSent(5, "7", 1, "n0", OTHER);
        assertViolations();
        checker.attemptSent(6, "7", 2, "n0", SAME_CELL);
        assertViolations(Invariant.ONE_ATTEMPT);
    }

    /** A node that was paused handles the request after its client has disconnected. */
    @Test
    public void aRequestOfADisconnectedClientIsRepeatedOnlyAsItsClassAllows() {
        receive(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        checker.clientDisconnected(500, "7");
        attempt(600, 0, A, true, Outcome.RESET);
        checker.responded(610, "7", "failed");
        assertViolations();
        attempt(620, 1, OTHER, true, Outcome.OK);
        assertViolations(Invariant.REPEATS);
    }

    @Test
    public void anAttemptForARequestThatHasEnded() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.responded(5, "7", "refused");
        checker.attemptSent(6, "7", 0, "n0", A);
        assertViolations(Invariant.REPEATS);
    }

    @Test
    public void anAttemptAfterTheDrainGrace() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.endpointStateReceived(50, "n0", "a", false);
        checker.endpointStateReceived(140, "n0", "a", false); // the first notification counts
        attempt(150, 0, A, true, Outcome.RESET);
        assertViolations();
        checker.attemptSent(151, "7", 1, "n1", A); // another node, which has not been notified
        checker.attemptEnded(152, "7", 1, Outcome.RESET);
        assertViolations();
        attempt(153, 2, A, true, Outcome.RESET);
        assertViolations(Invariant.DRAINS);
    }

    @Test
    public void aReadyServerAcceptsRequestsAgain() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.endpointStateReceived(50, "n0", "a", false);
        checker.endpointStateReceived(200, "n0", "a", true);
        attempt(300, 0, A, true, Outcome.OK);
        assertViolations();
    }

    @Test
    public void aResponseToAnotherRequest() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        attempt(1, 0, A, true, Outcome.OK);
        checker.responded(5, "7", "served");
        assertViolations();
        checker.wrongResponse(5, "7", "8 w1");
        assertViolations(Invariant.OWN_ANSWER);
    }

    @Test
    public void aConnectionThatTheNodeClosesWithoutAResponse() {
        receive(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        checker.connectionLost(5, "7", "the connection ended without a response");
        checker.deadlineMissed(1100, "7"); // the request has ended: counted once
        assertViolations(Invariant.ONE_ANSWER);
    }

    @Test
    public void aColdServerOverloaded() {
        checker.coldServerOverloaded(9, "a");
        assertViolations(Invariant.COLD_STARTS);
    }
}
