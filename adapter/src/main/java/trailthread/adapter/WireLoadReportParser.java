package trailthread.adapter;

import trailthread.api.LoadReport;

/**
 * Parses load reports, written as {@code name:value} pairs joined by commas, where a dash stands
 * for an unknown value. Names that no decision uses are skipped. A parser is used by one reader,
 * and reuses its fields for all reports to avoid allocation.
 */
final class WireLoadReportParser {
    private static final String FIELD = "feedback";

    private final WireReader reader;
    private double inFlight;
    private double queueLength;
    private double utilization;
    private double latencyMs;
    private double requestsPerSecond;
    private double errorsPerSecond;

    /** Creates a parser whose errors name the current line of a reader. */
    WireLoadReportParser(WireReader reader) {
        this.reader = reader;
    }

    /** The report in a text; values that the text does not hold are NaN. */
    LoadReport parse(String text) {
        clear();
        int start = 0;
        while (start < text.length()) {
            int comma = text.indexOf(',', start);
            int end = comma < 0 ? text.length() : comma;
            parsePair(text, start, end);
            start = end + 1;
        }
        return new LoadReport(
                inFlight, queueLength, utilization, latencyMs, requestsPerSecond, errorsPerSecond);
    }

    private void clear() {
        inFlight = Double.NaN;
        queueLength = Double.NaN;
        utilization = Double.NaN;
        latencyMs = Double.NaN;
        requestsPerSecond = Double.NaN;
        errorsPerSecond = Double.NaN;
    }

    private void parsePair(String text, int start, int end) {
        int colon = text.indexOf(':', start);
        if (colon < start || colon > end) {
            throw reader.invalid(FIELD, "name:value pairs, got '" + text + "'");
        }
        double value = parseValue(text.substring(colon + 1, end));
        switch (text.substring(start, colon)) {
            case "inflight" -> inFlight = value;
            case "queue" -> queueLength = value;
            case "util" -> utilization = value;
            case "latency_ms" -> latencyMs = value;
            case "qps" -> requestsPerSecond = value;
            case "eps" -> errorsPerSecond = value;
            default -> {
                // A value that no decision uses.
            }
        }
    }

    private double parseValue(String text) {
        if (text.equals("-")) {
            return Double.NaN;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw reader.invalid(FIELD, "a number, got '" + text + "'");
        }
    }
}
