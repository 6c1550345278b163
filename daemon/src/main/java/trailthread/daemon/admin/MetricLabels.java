package trailthread.daemon.admin;

import java.util.Locale;
import trailthread.api.Outcome;

/** The published label values of enums: fixed, whatever the constants are called in the code. */
final class MetricLabels {
    private MetricLabels() {}

    /** The value as it stands in metrics and in the status document. */
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
