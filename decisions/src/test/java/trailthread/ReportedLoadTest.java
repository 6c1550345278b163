package trailthread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static trailthread.ModuleFixture.NOW;

import org.junit.jupiter.api.Test;
import trailthread.api.LoadReport;

/** A new report weighs as much as the smoothed earlier ones, which start at 0. */
final class ReportedLoadTest {
    private final ReportedLoad load = new ReportedLoad();

    private void report(double inFlight, double queue, double latencyMs) {
        double none = Double.NaN;
        load.record(new LoadReport(inFlight, queue, none, latencyMs, none, none), NOW);
    }

    private void send(int attempts) {
        for (int i = 0; i < attempts; i++) {
            load.attemptSent();
        }
    }

    /** Otherwise, all nodes would send to the endpoint that was idle at the last report. */
    @Test
    void attemptsSentSinceTheReportAreAdded() {
        report(Double.NaN, 0, Double.NaN);
        send(5);
        assertEquals(5, load.requests(5));
        load.attemptEnded();
        assertEquals(4, load.requests(4));
        report(Double.NaN, 8, Double.NaN);
        assertEquals(4, load.requests(4));
        load.attemptEnded();
        assertEquals(4, load.requests(3));
    }

    @Test
    void repeatedReportIsNotTakenForANewOne() {
        report(Double.NaN, 4, Double.NaN);
        send(1);
        report(Double.NaN, 4, Double.NaN);
        assertEquals(2 + 1, load.requests(1));
        report(Double.NaN, 6, Double.NaN);
        assertEquals(4, load.requests(1));
    }

    @Test
    void absentOrInvalidValuesAreIgnored() {
        report(Double.NaN, 4, 30);
        send(1);
        double infinite = Double.POSITIVE_INFINITY;
        for (double invalid : new double[] {Double.NaN, -1, infinite}) {
            report(invalid, invalid, invalid);
        }
        assertEquals(3, load.requests(1));
        assertEquals(30e6, load.serviceTimeNs());
    }

    @Test
    void requestsInHandIncludeThisNodesAttemptsAndAreReplacedByAReportedQueue() {
        report(10, Double.NaN, Double.NaN);
        assertEquals(5, load.requests(2));
        assertEquals(7, load.requests(7));
        assertEquals(0, load.queue());
        report(100, 5, Double.NaN);
        assertEquals(5, load.requests(7));
        report(100, Double.NaN, Double.NaN);
        assertEquals(5, load.requests(7));
    }
}
