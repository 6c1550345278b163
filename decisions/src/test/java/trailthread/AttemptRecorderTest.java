package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static trailthread.WiredModules.MS;
import static trailthread.WiredModules.NOW;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import trailthread.api.Outcome;

/** Which statistics each outcome changes. */
class AttemptRecorderTest {
    private final WiredModules modules = new WiredModules();
    private final Endpoint a = WiredModules.endpoint("a", 0);
    private final AttemptRecorder recorder =
            new AttemptRecorder(
                    modules.means,
                    modules.estimator,
                    modules.inFlight,
                    modules.slowStart,
                    modules.outliers,
                    modules.limiter);

    @BeforeEach
    void useOneEndpoint() {
        modules.useSubset(1, a);
    }

    private void end(Request request, Attempt attempt, Outcome outcome, long latencyNs) {
        request.endAttempt(attempt, outcome);
        recorder.recordEnd(request, attempt, latencyNs, null, NOW + latencyNs);
    }

    private void attemptEndsIn(Outcome outcome, long latencyNs) {
        Request request = modules.request("safe");
        end(request, modules.attempt(request, a, null, NOW), outcome, latencyNs);
    }

    /** Three times the mean work: 0.5 + 0.5 * 3 = 2 times the latency of a request of mean work. */
    @Test
    void halfOfALatencyIsScaledByTheWork() {
        modules.means.recordWork(10 * MS);
        Request request = modules.request("safe", 30 * MS, NOW + 1000 * MS);
        end(request, modules.attempt(request, a, null, NOW), Outcome.OK, 80 * MS);
        assertEquals(40 * MS, modules.means.latencyNs(), 1);
        assertEquals(80 * MS, request.requestClass.latencyNs(), 1);
        assertEquals(0, modules.inFlight.total());
    }

    @Test
    void theLatencyOfAStreamIsThatOfItsFirstByte() {
        Request request = modules.request("safe");
        Attempt attempt = modules.attempt(request, a, null, NOW);
        request.streaming = true;
        recorder.recordFirstByte(request, attempt, NOW + 20 * MS);
        end(request, attempt, Outcome.OK, 900 * MS);
        assertEquals(20 * MS, modules.means.latencyNs(), 1);
        assertEquals(1, a.latency.responses());
    }

    /** One timeout may be a lost response; a second one in a row shows congestion. */
    @Test
    void onlyTimeoutsAfterTheFirstInARowCountAsLatency() {
        attemptEndsIn(Outcome.TIMEOUT, 500 * MS);
        assertEquals(0, a.latency.responses());
        attemptEndsIn(Outcome.TIMEOUT, 500 * MS);
        assertEquals(1, a.latency.responses());
        assertEquals(2, a.health.failures());
        attemptEndsIn(Outcome.OK, 20 * MS);
        assertEquals(0, a.health.failures());
    }

    /** A rejection leaves 0.7 of the one attempt that was in flight, of a limit of 4. */
    @Test
    void aRejectionCutsTheLimitAndIsNoFailure() {
        attemptEndsIn(Outcome.REJECTED, MS);
        assertEquals(0.7, modules.limiter.capacity(a, MS), 1e-9);
        assertEquals(0, a.health.failures());
    }

    @Test
    void cancelledAndUnsentAttemptsChangeNoStatisticsOfTheEndpoint() {
        attemptEndsIn(Outcome.CANCELLED, 500 * MS);
        attemptEndsIn(Outcome.NOT_SENT, 500 * MS);
        assertEquals(0, a.health.failures());
        assertEquals(0, a.latency.responses());
        assertEquals(4, modules.limiter.capacity(a, MS), 1e-9);
    }
}
