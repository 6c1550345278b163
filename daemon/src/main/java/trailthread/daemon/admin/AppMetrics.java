package trailthread.daemon.admin;

import java.util.Map;
import trailthread.engine.metrics.RequestResult;

/**
 * The metrics whose names the operators have prescribed; docs/operations.md explains them. Rendered
 * here, as the writers of the Prometheus library would append a suffix to the counters' names.
 *
 * @param classes the metrics of each request class; they are not copied, so render them at once
 * @param attemptsSent attempts whose last byte was written
 * @param listedEndpoints the number of listed endpoints
 * @param avoidedEndpoints the number of listed endpoints that the balancer avoids
 * @param reloadsApplied configurations that were applied on a reload
 * @param reloadsRejected configurations that were rejected on a reload
 */
record AppMetrics(
        Map<String, ClassMetrics> classes,
        long attemptsSent,
        int listedEndpoints,
        int avoidedEndpoints,
        long reloadsApplied,
        long reloadsRejected) {
    private static final int TYPICAL_LINE_CHARACTERS = 64;

    /** Renders the metrics as text, one per line. */
    String render() {
        int lines = (classes.size() + 1) * RequestResult.values().length;
        StringBuilder out = new StringBuilder(TYPICAL_LINE_CHARACTERS * lines);
        for (RequestResult result : RequestResult.values()) {
            classes.forEach((name, metrics) -> appendResponses(out, result, name, metrics));
        }
        append(out, "sends", attemptsSent);
        append(out, "current", classes.values().stream().mapToLong(ClassMetrics::inFlight).sum());
        append(out, "cluster_size", listedEndpoints);
        append(out, "cluster_unhealthy", avoidedEndpoints);
        append(out, "conf_loaded", reloadsApplied);
        append(out, "conf_invalid", reloadsRejected);
        return out.toString();
    }

    private static void appendResponses(
            StringBuilder out, RequestResult result, String className, ClassMetrics metrics) {
        out.append("app_")
                .append(metricName(result))
                .append("{group=\"")
                .append(escaped(className))
                .append("\"} ")
                .append(metrics.responses.get(result))
                .append('\n');
    }

    private static void append(StringBuilder out, String name, long value) {
        out.append("app_").append(name).append(' ').append(value).append('\n');
    }

    private static String metricName(RequestResult result) {
        return switch (result) {
            case SERVED -> "answered";
            case REFUSED -> "deferred";
            case FAILED -> "errored";
        };
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
