package trailthread.daemon.admin;

import static org.junit.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.Test;
import trailthread.api.EndpointState;
import trailthread.api.Outcome;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.metrics.RequestResult;

/**
 * Dashboards and alerts rely on these label values, so they must not change when a constant is
 * renamed.
 */
public class MetricLabelsTest {
    private static List<String> labels(Enum<?>[] constants) {
        return Arrays.stream(constants).map(MetricLabels::valueOf).toList();
    }

    @Test
    public void outcomesKeepTheirPublishedValues() {
        assertEquals(
                List.of(
                        "ok",
                        "error",
                        "full",
                        "timeout",
                        "connect_failed",
                        "reset",
                        "cancelled",
                        "moot"),
                labels(Outcome.values()));
    }

    @Test
    public void requestResultsKeepTheirPublishedValues() {
        assertEquals(List.of("served", "refused", "failed"), labels(RequestResult.values()));
    }

    @Test
    public void rejectionReasonsKeepTheirPublishedValues() {
        assertEquals(
                List.of("bad_request", "too_large", "conflict", "no_route"),
                labels(RejectionReason.values()));
    }

    @Test
    public void endpointStatesKeepTheirPublishedValues() {
        assertEquals(List.of("ready", "draining", "gone"), labels(EndpointState.values()));
    }
}
