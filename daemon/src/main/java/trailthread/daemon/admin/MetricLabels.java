package trailthread.daemon.admin;

import java.util.Locale;
import trailthread.api.Outcome;

/**
 * The published label values of enum constants, which must not change when a constant is renamed.
 */
final class MetricLabels {
    private MetricLabels() {}

    /** Returns the label value of a constant in metrics and in the status document. */
    static String valueOf(Enum<?> value) {
        if (value == Outcome.REJECTED) {
            return "full";
        }
        if (value == Outcome.NOT_SENT) {
            return "moot";
        }
        return value.name().toLowerCase(Locale.ROOT);
    }
}
