package trailthread.daemon.admin;

import java.util.Map;
import trailthread.engine.metrics.RequestResult;

/**
 * The metrics whose names the operators have prescribed (docs/operations.md explains them). They
 * are rendered here, as Prometheus' writers would append a suffix to the counters' names.
 *
 * @param classes the metrics of each request class, which may be live ones
 * @param attemptsSent attempts that were written to their last byte
 * @param endpoints how many endpoints are listed
 * @param avoidedEndpoints how many of these the node avoids
 * @param reloadsApplied configurations that were applied at a reload
 * @param reloadsRejected configurations that were not
 */
record AppMetrics(
        Map<String, ClassMetrics> classes,
        long attemptsSent,
        int endpoints,
        int avoidedEndpoints,
        long reloadsApplied,
        long reloadsRejected) {
    private static final int TYPICAL_LINE_CHARACTERS = 64;

    /** The metrics as text, one a line. */
    String render() {
        int lines = (classes.size() + 1) * RequestResult.values().length;
        StringBuilder out = new StringBuilder(TYPICAL_LINE_CHARACTERS * lines);
        for (RequestResult result : RequestResult.values()) {
            classes.forEach((name, metrics) -> appendResponses(out, result, name, metrics));
        }
        append(out, "sends", attemptsSent);
        append(out, "current", classes.values().stream().mapToLong(ClassMetrics::inFlight).sum());
        append(out, "cluster_size", endpoints);
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
