package trailthread.engine.endpoint;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import trailthread.api.LoadReport;

/** Parses the load reports of endpoints. */
final class LoadReportParser {
    /** No endpoint has a larger value of any kind, so a report with a larger one is implausible. */
    private static final double MAX_VALUE = 1e6;

    private LoadReportParser() {}

    /**
     * Returns the report, or null if there is none or it is malformed or implausible; unknown keys
     * are skipped.
     *
     * @param json the report's text, or null
     */
    static LoadReport parse(String json) {
        if (json == null) {
            return null;
        }
        JsonReader in = new JsonReader(new StringReader(json));
        in.setStrictness(Strictness.STRICT);
        try {
            LoadReport report = read(in);
            boolean atEnd = in.peek() == JsonToken.END_DOCUMENT;
            return atEnd && isPlausible(report) ? report : null;
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            return null;
        }
    }

    private static LoadReport read(JsonReader in) throws IOException {
        double inflight = Double.NaN;
        double queue = Double.NaN;
        double util = Double.NaN;
        double latencyMs = Double.NaN;
        double qps = Double.NaN;
        double eps = Double.NaN;
        in.beginObject();
        while (in.hasNext()) {
            String name = in.nextName();
            if (in.peek() != JsonToken.NUMBER) {
                in.skipValue();
                continue;
            }
            switch (name) {
                case "inflight" -> inflight = in.nextDouble();
                case "queue" -> queue = in.nextDouble();
                case "util" -> util = in.nextDouble();
                case "latency_ms" -> latencyMs = in.nextDouble();
                case "qps" -> qps = in.nextDouble();
                case "eps" -> eps = in.nextDouble();
                default -> in.skipValue();
            }
        }
        in.endObject();
        return new LoadReport(inflight, queue, util, latencyMs, qps, eps);
    }

    private static boolean isPlausible(LoadReport report) {
        return isPlausible(report.inflight())
                && isPlausible(report.queue())
                && isPlausible(report.util())
                && isPlausible(report.latencyMs())
                && isPlausible(report.qps())
                && isPlausible(report.eps());
    }

    /** Returns whether a value is absent (NaN) or within its range. */
    private static boolean isPlausible(double value) {
        return !(value < 0 || value > MAX_VALUE);
    }
}
