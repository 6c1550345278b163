package trailthread.daemon.admin;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Map;
import trailthread.api.Outcome;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.metrics.RequestResult;

/** Tells a snapshot as one JSON object, for people and scripts; what is not known is left out. */
final class StatusJson {
    /** Whole numbers below this are written as such: a double holds them all. */
    private static final double MOST_WHOLE = 1L << 53;

    private final JsonWriter out;

    private StatusJson(JsonWriter out) {
        this.out = out;
    }

    static byte[] render(Snapshot s, ProcessMetrics process, String name, String version)
            throws IOException {
        StringWriter text = new StringWriter();
        try (JsonWriter writer = new JsonWriter(text)) {
            writer.setIndent(" ");
            writer.setSerializeNulls(false);
            new StatusJson(writer).write(s, process, name, version);
        }
        return text.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }

    private void write(Snapshot s, ProcessMetrics process, String name, String version)
            throws IOException {
        out.beginObject();
        out.name("name").value(name);
        out.name("version").value(version);
        out.name("ready").value(s.ready());
        out.name("level").value(s.level());
        out.name("since")
                .value(
                        s.level() == null
                                ? null
                                : Instant.ofEpochSecond(0, s.levelSince()).toString());
        object("level_changes", s.levelChanges());
        object("readings", s.readings());
        calls(s);
        counts("rejected", RejectionReason.values(), s.rejections());
        counts("attempts", Outcome.values(), s.attempts());
        out.name("attempts_at_work").value(s.attemptsAtWork());
        counts("probes", Outcome.values(), s.probes());
        object("client_connections", s.clientConnections());
        object("worker_connections", s.endpointConnections());
        out.name("process").beginObject();
        figure("open_descriptors", process.openDescriptors());
        figure("descriptors_limit", s.descriptorLimit());
        figure("resident_bytes", process.residentBytes());
        figure("heap_used_bytes", process.heapUsedBytes());
        figure("heap_max_bytes", process.heapMostBytes());
        figure("cpu_seconds", process.cpuSeconds());
        out.endObject();
        endpoints(s.fleet());
        out.endObject();
    }

    private void calls(Snapshot s) throws IOException {
        out.name("calls").beginObject();
        for (Map.Entry<String, ClassMetrics> e : s.classes().entrySet()) {
            ClassMetrics figures = e.getValue();
            out.name(e.getKey()).beginObject();
            out.name("taken").value(figures.taken);
            for (RequestResult answer : RequestResult.values()) {
                out.name(MetricLabels.of(answer)).value(figures.answers[answer.ordinal()]);
            }
            out.name("gone").value(figures.gone);
            out.name("at_work").value(figures.atWork());
            figure("mean_seconds", figures.durations.sumSeconds() / figures.durations.count());
            out.endObject();
        }
        out.endObject();
    }

    private void endpoints(FleetMetrics fleet) throws IOException {
        out.name("workers").beginObject();
        out.name("ready").value(fleet.ready());
        out.name("draining").value(fleet.draining());
        out.name("worst").beginArray();
        for (EndpointMetrics endpoint : fleet.worst()) {
            out.beginObject();
            out.name("id").value(endpoint.id);
            out.name("state").value(MetricLabels.of(endpoint.state));
            out.name("in_flight").value(endpoint.inFlight);
            figure("queue", endpoint.queue);
            figure("latency_seconds", endpoint.latencyS);
            figure("failure_ratio", endpoint.failureRatio);
            out.name("attempts").value(endpoint.attempts);
            out.name("failures").value(endpoint.failures);
            out.endObject();
        }
        out.endArray();
        out.name("others").beginObject();
        out.name("count").value(fleet.rest());
        out.name("in_flight").value(fleet.restInFlight());
        figure("queue", fleet.restQueue());
        out.name("attempts").value(fleet.restAttempts());
        out.name("failures").value(fleet.restFailures());
        out.endObject();
        out.endObject();
    }

    private void object(String name, Map<String, ? extends Number> values) throws IOException {
        out.name(name).beginObject();
        for (Map.Entry<String, ? extends Number> e : values.entrySet()) {
            if (Double.isFinite(e.getValue().doubleValue())) {
                out.name(e.getKey()).value(e.getValue());
            }
        }
        out.endObject();
    }

    private void counts(String name, Enum<?>[] keys, long[] values) throws IOException {
        out.name(name).beginObject();
        for (Enum<?> key : keys) {
            out.name(MetricLabels.of(key)).value(values[key.ordinal()]);
        }
        out.endObject();
    }

    /** JSON knows no figure but finite ones. */
    private void figure(String name, double value) throws IOException {
        if (value == Math.rint(value) && Math.abs(value) < MOST_WHOLE) {
            out.name(name).value((long) value);
        } else if (Double.isFinite(value)) {
            out.name(name).value(value);
        }
    }
}
