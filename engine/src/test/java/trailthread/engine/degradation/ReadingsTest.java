package trailthread.engine.degradation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.degradation.SheddingOrder;
import trailthread.engine.metrics.RequestResult;

/** Tests attempt each reading is derived from events and samples. */
public class ReadingsTest {
    private static final long MS = 1_000_000L;
    private static final double EXACT = 0;

    private static List<EndpointEntry> entries(EndpointState state, String... names) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String name : names) {
            entries.add(new EndpointEntry(name, 1, state, "a", 0, 0));
        }
        return entries;
    }

    @Test
    public void anEndpointIsFailingIfOverAThirdOfItsLastAttemptsFailedQuickly() {
        // A letter for each attempt: o OK, e error, c connect failed, r reset, t timeout,
        // f rejected, m not sent, s slow error, u error of unknown latency.
        Object[][] cases = {
            {"", 0.0},
            {"e", 0.0},
            {"ee", 0.5},
            {"ec", 0.5},
            {"er", 0.5},
            {"ooooee", 0.0},
            {"oooee", 0.5},
            {"tttt", 0.0},
            {"ffff", 0.0},
            {"mmmm", 0.0},
            {"ssss", 0.0},
            {"uu", 0.5},
            {"eeeeeeeeeooooooooo", 0.0},
            {"ooooooooooooooooeeee", 0.5},
        };
        for (Object[] c : cases) {
            FailingEndpointRate failing = new FailingEndpointRate(100 * MS);
            failing.endpointListUpdated(ListKind.FULL, entries(EndpointState.READY, "e0", "e1"));
            failing.endpointListUpdated(ListKind.DELTA, entries(EndpointState.DRAINING, "e2"));
            for (char attempt : ((String) c[0]).toCharArray()) {
                Outcome outcome =
                        switch (attempt) {
                            case 'o' -> Outcome.OK;
                            case 'c' -> Outcome.CONNECT_FAILED;
                            case 'r' -> Outcome.RESET;
                            case 't' -> Outcome.TIMEOUT;
                            case 'f' -> Outcome.REJECTED;
                            case 'm' -> Outcome.NOT_SENT;
                            default -> Outcome.ERROR;
                        };
                long latency = attempt == 's' ? 101 * MS : attempt == 'u' ? -1 : MS;
                failing.attemptEnded("e0", outcome, latency, 0);
                failing.attemptEnded("e2", outcome, latency, 0);
                failing.attemptEnded("unknown", outcome, latency, 0);
            }
            assertEquals((String) c[0], (double) c[1], failing.rate(59_000 * MS), EXACT);
            assertEquals("the attempts have expired", 0, failing.rate(60_000 * MS), EXACT);
        }
    }

    @Test
    public void withoutReadyEndpointsTheFailingRateIsUnknown() {
        FailingEndpointRate failing = new FailingEndpointRate(MS);
        assertTrue(Double.isNaN(failing.rate(0)));
        failing.endpointListUpdated(ListKind.FULL, entries(EndpointState.READY, "e0"));
        assertEquals(0, failing.rate(0), EXACT);
        failing.endpointListUpdated(ListKind.FULL, entries(EndpointState.DRAINING, "e1"));
        assertTrue(Double.isNaN(failing.rate(0)));
    }

    @Test
    public void reportsAgeOnlyWhileTheyAreExpected() {
        LoadReportAge age = new LoadReportAge(5);
        assertEquals(0, age.ageNs());
        age.reportMissed(9);
        assertEquals(4, age.ageNs());
        age.reportReceived(10);
        assertEquals(0, age.ageNs());
        age.reportMissed(17);
        assertEquals(7, age.ageNs());
    }

    @Test
    public void requestsOutsideTheSafeReachThatLackAnEndpointAreStarvedUnlessTheyWereShed() {
        List<RequestClass> classes =
                List.of(
                        new RequestClass(
                                "poll",
                                100 * MS,
                                0,
                                1000 * MS,
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                1,
                                0),
                        new RequestClass(
                                "use",
                                100 * MS,
                                0,
                                1000 * MS,
                                Idempotency.NOT_IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                1,
                                0));
        StarvationRate starved =
                new StarvationRate(classes, new SheddingOrder(classes, List.of()), 0);
        starved.requestAnswered("poll", RequestResult.FAILED, 0, 0);
        starved.requestAnswered("other", RequestResult.FAILED, 0, 0);
        starved.requestAnswered("use", RequestResult.SERVED, 10 * MS, 0);
        starved.requestShed("use");
        starved.requestAnswered("use", RequestResult.REFUSED, -1, 0);
        assertEquals(0, starved.rate(0), EXACT);
        double before = 0;
        Object[][] cases = {
            {RequestResult.REFUSED, -1L},
            {RequestResult.FAILED, 0L},
            {RequestResult.SERVED, 10 * MS + 1}
        };
        for (Object[] c : cases) {
            starved.requestAnswered("use", (RequestResult) c[0], (long) c[1], 0);
            assertTrue(c[0] + " counts", starved.rate(0) > before);
            before = starved.rate(0);
        }
    }

    @Test
    public void memoryIsWhatWasInUseAfterTheLastCollection() {
        MemoryInUse memory = new MemoryInUse();
        long[][] cases = {{50, 50}, {90, 50}, {60, 60}, {60, 60}, {99, 60}, {20, 20}};
        for (long[] c : cases) {
            assertEquals(c[1], memory.addSample(c[0]));
        }
    }

    @Test
    public void cpuThrottlingIsReadFromTheSecondField() throws Exception {
        Path file = Files.createTempFile("schedstat", "");
        try {
            String[][] cases = {
                {"9 1000 3\n", "NaN"},
                {"9 1025 3\n", "0.25"},
                {"9 9025 3\n", "1.0"},
                {"nothing\n", "NaN"},
                {"9 10 3\n", "NaN"},
                {"9 5 3\n", "0.0"},
                {"9 x 3\n", "NaN"},
                {"", "NaN"},
            };
            CpuThrottling cpu = CpuThrottling.open(file);
            long now = 0;
            for (String[] c : cases) {
                Files.writeString(file, c[0]);
                now += 100;
                assertEquals(c[0], c[1], Double.toString(cpu.fractionSinceLastCall(now)));
            }
        } finally {
            Files.delete(file);
        }
        assertTrue(
                Double.isNaN(
                        CpuThrottling.open(Path.of("/nowhere/at/all")).fractionSinceLastCall(1)));
    }

    @Test
    public void thinnedHealthChecksReachEveryEndpoint() {
        HealthCheckThinning thinning = new HealthCheckThinning();
        for (double factor : new double[] {1, 2, 4}) {
            for (String endpoint : List.of("e0", "e1")) {
                int permitted = 0;
                for (int i = 0; i < 8; i++) {
                    permitted += thinning.permits(endpoint, factor) ? 1 : 0;
                }
                assertEquals(8 / factor, permitted, EXACT);
            }
        }
    }
}
