package trailthread.daemon.admin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.Test;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.metrics.RequestResult;

/** Which events are counted, and how the metrics are rendered. */
public class MetricsExpositionTest {
    private static final String NAME = "[a-zA-Z_:][a-zA-Z0-9_:]*";
    private static final String LABEL = "[a-zA-Z_][a-zA-Z0-9_]*=\"([^\"\\\\\n]|\\\\[\\\\\"n])*\"";

    /** A line of the text format 0.0.4, as prometheus.io specifies it. */
    private static final Pattern LINE =
            Pattern.compile(
                    "# HELP "
                            + NAME
                            + " ([^\\\\]|\\\\[\\\\n])*"
                            + "|# TYPE "
                            + NAME
                            + " (counter|gauge|histogram|summary|untyped)"
                            + "|"
                            + NAME
                            + "(\\{"
                            + LABEL
                            + "(,"
                            + LABEL
                            + ")*,?\\})? "
                            + "(NaN|[+-]Inf|[+-]?[0-9.]+(E-?[0-9]+)?)");

    private final NodeMetrics metrics = new NodeMetrics(List.of("read", "write"));

    static void assertTextFormat(String text) {
        assertTrue(text.endsWith("\n"));
        for (String line : text.split("\n")) {
            assertTrue(line, LINE.matcher(line).matches());
        }
    }

    private String text() throws IOException {
        byte[] text =
                Exposition.render(
                        metrics.snapshot(new FixedNodeStatus()),
                        ProcessMetrics.read(),
                        "n\"3",
                        "0.1",
                        PrometheusTextFormatWriter.create());
        return new String(text, StandardCharsets.UTF_8);
    }

    private JsonObject json() throws IOException {
        byte[] json =
                StatusJson.render(
                        metrics.snapshot(new FixedNodeStatus()),
                        ProcessMetrics.read(),
                        "n3",
                        "0.1");
        return JsonParser.parseString(new String(json, StandardCharsets.UTF_8)).getAsJsonObject();
    }

    private void updateList(ListKind kind, EndpointState state, String... endpoints) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String endpoint : endpoints) {
            entries.add(new EndpointEntry(endpoint, 1, state, "a", 0, 0));
        }
        metrics.endpointListUpdated(kind, entries);
    }

    private void endAttempt(String endpoint, Outcome outcome, double queue) {
        metrics.attemptStarted(endpoint);
        metrics.attemptEnded(endpoint, outcome, 20_000_000L, new LoadReport(1, queue, 0, 0, 0, 0));
    }

    @Test
    public void eventsAreRenderedInBothFormats() throws IOException {
        String escapedId = "w\\\"\n0";
        updateList(ListKind.FULL, EndpointState.READY, escapedId, "w1");
        updateList(ListKind.DELTA, EndpointState.DRAINING, "w1");
        for (int i = 0; i < 3; i++) {
            metrics.requestAdmitted("read");
        }
        metrics.requestAnswered("read", RequestResult.SERVED, 20_000_000L, 0);
        metrics.clientDisconnected("read");
        metrics.requestRejected(RejectionReason.CONFLICT);
        endAttempt(escapedId, Outcome.OK, 7);
        metrics.attemptStarted("w1");
        metrics.healthChecked("w1", Outcome.TIMEOUT, null);
        metrics.degradationLevelEntered(1_500_000_000L, "full");
        metrics.degradationLevelEntered(2_500_000_000L, "saving");
        metrics.degradationLevelEntered(3_500_000_000L, "saving");
        String text = text();
        assertTextFormat(text);
        for (String line :
                List.of(
                        "trailthread_node_info{name=\"n\\\"3\",version=\"0.1\"} 1",
                        "trailthread_calls_total{class=\"read\"} 3.0",
                        "trailthread_calls_total{class=\"write\"} 0.0",
                        "trailthread_answers_total{answer=\"served\",class=\"read\"} 1.0",
                        "trailthread_calls_gone_total{class=\"read\"} 1.0",
                        "trailthread_calls_at_work 1.0",
                        "trailthread_call_duration_seconds_bucket{class=\"read\",le=\"0.01\"} 0",
                        "trailthread_call_duration_seconds_bucket{class=\"read\",le=\"0.025\"} 1",
                        "trailthread_call_duration_seconds_bucket{class=\"read\",le=\"+Inf\"} 1",
                        "trailthread_call_duration_seconds_sum{class=\"read\"} 0.02",
                        "trailthread_rejected_total{reason=\"conflict\"} 1.0",
                        "trailthread_attempts_total{outcome=\"ok\"} 1.0",
                        "trailthread_attempts_at_work 1.0",
                        "trailthread_probes_total{outcome=\"timeout\"} 1.0",
                        "trailthread_level{trailthread_level=\"saving\"} 1",
                        "trailthread_level{trailthread_level=\"least\"} 0",
                        "trailthread_level_changes_total{level=\"saving\"} 1.0",
                        "trailthread_level_changes_total{level=\"full\"} 0.0",
                        "trailthread_level_start_time_seconds 2.5",
                        "trailthread_reading{reading=\"lateness_seconds\"} 0.25",
                        "trailthread_client_connections{state=\"busy\"} 2.0",
                        "trailthread_message_memory_bytes 4096.0",
                        "trailthread_descriptors_limit 1024.0",
                        "trailthread_workers{state=\"draining\"} 1.0",
                        "trailthread_worker_queue{worker=\"w\\\\\\\"\\n0\"} 7.0",
                        "trailthread_worker_in_flight{worker=\"w1\"} 1.0")) {
            assertTrue(line + " in\n" + text, text.contains("\n" + line + "\n"));
        }
        JsonObject json = json();
        assertEquals("saving", json.get("level").getAsString());
        assertEquals("1970-01-01T00:00:02.500Z", json.get("since").getAsString());
        assertEquals(Set.of("lateness_seconds"), json.getAsJsonObject("readings").keySet());
        assertEquals(
                1, json.getAsJsonObject("calls").getAsJsonObject("read").get("at_work").getAsInt());
        assertEquals(
                0.02,
                json.getAsJsonObject("workers")
                        .getAsJsonArray("worst")
                        .get(0)
                        .getAsJsonObject()
                        .get("latency_seconds")
                        .getAsDouble(),
                1e-9);
    }

    @Test
    public void aNodeWithoutEventsIsRendered() throws IOException {
        String text = text();
        assertTextFormat(text);
        assertFalse(text, text.contains("# TYPE trailthread_level gauge"));
        assertTrue(
                text,
                text.contains(
                        "trailthread_answers_total{answer=\"failed\",class=\"write\"} 0.0\n"));
        assertFalse(json().has("level"));
    }

    @Test
    public void ofManyEndpointsTheWorstAreShownAndTheOthersSummedUp() {
        String[] ids = new String[10_000];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = "w" + i;
        }
        updateList(ListKind.FULL, EndpointState.READY, ids);
        for (String id : ids) {
            endAttempt(id, Outcome.OK, 2);
        }
        endAttempt("w77", Outcome.RESET, 0);
        endAttempt("w4321", Outcome.RESET, 1);
        metrics.attemptStarted("w9");
        endAttempt("unlisted", Outcome.RESET, 0);
        FleetMetrics fleet = metrics.snapshot(new FixedNodeStatus()).fleet();
        assertEquals(10_000, fleet.readyCount());
        assertEquals(
                List.of("w4321", "w77", "w9"),
                fleet.worstEndpoints().subList(0, 3).stream()
                        .map(endpoint -> endpoint.id)
                        .toList());
        assertEquals(NodeMetrics.MAX_SEPARATE_ENDPOINTS, fleet.worstEndpoints().size());
        assertEquals(8_976, fleet.otherEndpoints().endpointCount());
        assertEquals(8_976, fleet.otherEndpoints().attempts());
        assertEquals(0, fleet.otherEndpoints().inFlight() + fleet.otherEndpoints().failures());
        assertEquals(17_952, fleet.otherEndpoints().queue(), 0);
        updateList(ListKind.FULL, EndpointState.READY, "w77", "new");
        updateList(ListKind.FAILED, EndpointState.READY);
        endAttempt("w77", Outcome.NOT_SENT, 0);
        updateList(ListKind.DELTA, EndpointState.GONE, "new");
        fleet = metrics.snapshot(new FixedNodeStatus()).fleet();
        assertEquals(1, fleet.worstEndpoints().size());
        assertEquals("kept across lists", 2, fleet.worstEndpoints().get(0).attempts);
    }

    /** In the tables of docs/operations.md, each row begins with a metric's name and its type. */
    @Test
    public void theOperatorsPageDocumentsEachMetricAndNoOther() throws IOException {
        metrics.degradationLevelEntered(1, "full");
        updateList(ListKind.FULL, EndpointState.READY, "w0");
        endAttempt("w0", Outcome.OK, 1);
        Set<String> rendered = matches("(?m)^# TYPE (\\S+ \\S+)$", text());
        Set<String> documented =
                matches(
                        "(?m)^\\| `(\\w+)` \\| (\\w+) \\|",
                        Files.readString(Path.of("../docs/operations.md")));
        assertEquals(rendered, documented);
        assertTrue(rendered.toString(), rendered.size() > 30);
    }

    private static Set<String> matches(String pattern, String text) {
        Set<String> found = new TreeSet<>();
        for (Matcher m = Pattern.compile(pattern).matcher(text); m.find(); ) {
            found.add(m.groupCount() == 1 ? m.group(1) : m.group(1) + " " + m.group(2));
        }
        return found;
    }
}
