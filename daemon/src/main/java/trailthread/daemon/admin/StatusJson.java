package trailthread.daemon.admin;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Map;
import trailthread.engine.metrics.RequestResult;

/** Renders a snapshot as one JSON object, for people and scripts. Unknown values are left out. */
final class StatusJson {
    /**
     * Integers below this are written without a fraction: a double represents each of them exactly.
     */
    private static final double EXACT_INTEGER_LIMIT = 1L << 53;

    private final JsonWriter out;

    private StatusJson(JsonWriter out) {
        this.out = out;
    }

    /** Renders the status document of a node, in UTF-8. */
    static byte[] render(Snapshot snapshot, ProcessMetrics process, String nodeName, String version)
            throws IOException {
        StringWriter text = new StringWriter();
        try (JsonWriter writer = new JsonWriter(text)) {
            writer.setIndent(" ");
            writer.setSerializeNulls(false);
            new StatusJson(writer).write(snapshot, process, nodeName, version);
        }
        return text.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }

    private void write(Snapshot snapshot, ProcessMetrics process, String nodeName, String version)
            throws IOException {
        out.beginObject();
        out.name("name").value(nodeName);
        out.name("version").value(version);
        out.name("ready").value(snapshot.ready());
        writeLevel(snapshot);
        writeRequests(snapshot.classes());
        writeCounts("rejected", snapshot.rejections());
        writeCounts("attempts", snapshot.attempts());
        out.name("attempts_at_work").value(snapshot.attemptsInFlight());
        writeCounts("probes", snapshot.healthChecks());
        writeNumbers("client_connections", snapshot.clientConnections());
        writeNumbers("worker_connections", snapshot.endpointConnections());
        writeProcess(process, snapshot.descriptorLimit());
        writeEndpoints(snapshot.fleet());
        out.endObject();
    }

    private void writeLevel(Snapshot snapshot) throws IOException {
        if (snapshot.level() != null) {
            out.name("level").value(snapshot.level());
            out.name("since").value(Instant.ofEpochSecond(0, snapshot.levelSince()).toString());
        }
        writeNumbers("level_changes", snapshot.levelChanges());
        writeNumbers("readings", snapshot.readings());
    }

    private void writeProcess(ProcessMetrics process, int descriptorLimit) throws IOException {
        out.name("process").beginObject();
        writeNumber("open_descriptors", process.openDescriptors());
        writeNumber("descriptors_limit", descriptorLimit);
        writeNumber("resident_bytes", process.residentBytes());
        writeNumber("heap_used_bytes", process.heapUsedBytes());
        writeNumber("heap_max_bytes", process.heapMaxBytes());
        writeNumber("cpu_seconds", process.cpuSeconds());
        out.endObject();
    }

    private void writeRequests(Map<String, ClassMetrics> classes) throws IOException {
        out.name("calls").beginObject();
        for (Map.Entry<String, ClassMetrics> requestClass : classes.entrySet()) {
            ClassMetrics metrics = requestClass.getValue();
            DurationHistogram durations = metrics.durations;
            out.name(requestClass.getKey()).beginObject();
            out.name("taken").value(metrics.admitted);
            for (RequestResult result : metrics.responses.constants()) {
                out.name(MetricLabels.valueOf(result)).value(metrics.responses.get(result));
            }
            out.name("gone").value(metrics.clientDisconnects);
            out.name("at_work").value(metrics.inFlight());
            writeNumber("mean_seconds", durations.sumSeconds() / durations.count());
            out.endObject();
        }
        out.endObject();
    }

    private void writeEndpoints(FleetMetrics fleet) throws IOException {
        out.name("workers").beginObject();
        out.name("ready").value(fleet.readyCount());
        out.name("draining").value(fleet.drainingCount());
        out.name("worst").beginArray();
        for (EndpointMetrics endpoint : fleet.worstEndpoints()) {
            writeEndpoint(endpoint);
        }
        out.endArray();
        EndpointTotals others = fleet.otherEndpoints();
        out.name("others").beginObject();
        out.name("count").value(others.endpointCount());
        out.name("in_flight").value(others.inFlight());
        writeNumber("queue", others.queue());
        out.name("attempts").value(others.attempts());
        out.name("failures").value(others.failures());
        out.endObject();
        out.endObject();
    }

    private void writeEndpoint(EndpointMetrics endpoint) throws IOException {
        out.beginObject();
        out.name("id").value(endpoint.id);
        out.name("state").value(MetricLabels.valueOf(endpoint.state));
        out.name("in_flight").value(endpoint.inFlight);
        writeNumber("queue", endpoint.queue);
        writeNumber("latency_seconds", endpoint.latencySeconds);
        writeNumber("failure_ratio", endpoint.failureRatio);
        out.name("attempts").value(endpoint.attempts);
        out.name("failures").value(endpoint.failures);
        out.endObject();
    }

    /** Writes the finite values, as JSON can't represent others. */
    private void writeNumbers(String name, Map<String, ? extends Number> values)
            throws IOException {
        out.name(name).beginObject();
        for (Map.Entry<String, ? extends Number> entry : values.entrySet()) {
            if (Double.isFinite(entry.getValue().doubleValue())) {
                out.name(entry.getKey()).value(entry.getValue());
            }
        }
        out.endObject();
    }

    private <E extends Enum<E>> void writeCounts(String name, EnumCounts<E> counts)
            throws IOException {
        out.name(name).beginObject();
        for (E constant : counts.constants()) {
            out.name(MetricLabels.valueOf(constant)).value(counts.get(constant));
        }
        out.endObject();
    }

    /** Writes a number if it is finite, as JSON can't represent others. */
    private void writeNumber(String name, double value) throws IOException {
        if (value == Math.rint(value) && Math.abs(value) < EXACT_INTEGER_LIMIT) {
            out.name(name).value((long) value);
        } else if (Double.isFinite(value)) {
            out.name(name).value(value);
        }
    }
}
