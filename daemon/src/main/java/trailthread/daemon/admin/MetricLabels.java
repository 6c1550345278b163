package trailthread.daemon.admin;

import java.util.Locale;
import trailthread.api.Outcome;

/** The published label values of enums, which stay when their constants are renamed. */
final class MetricLabels {
    private MetricLabels() {}

    /** The label value of a constant, in metrics and in the status document. */
    static String of(Enum<?> value) {
        if (value == Outcome.REJECTED) {
            return "full";
        }
        if (value == Outcome.NOT_SENT) {
            return "moot";
        }
        return value.name().toLowerCase(Locale.ROOT);
    }
}
