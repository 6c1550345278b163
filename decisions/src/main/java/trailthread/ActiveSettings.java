package trailthread;

import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** The settings in force, with the figures that several modules derive from them. */
final class ActiveSettings {
    private Settings settings;
    private long tightestObjectiveNs;
    private long longestDeadlineNs;
    private double latencyResolutionNs;

    /**
     * @throws IllegalArgumentException that names the first setting that makes no sense
     */
    ActiveSettings(Settings settings) {
        replace(settings);
    }

    /**
     * Puts other settings in force; if they are bad, the ones before stay.
     *
     * @throws IllegalArgumentException that names the first setting that makes no sense
     */
    void replace(Settings next) {
        next.check();
        settings = next;
        latencyResolutionNs = next.latencyResolutionNs();
        longestDeadlineNs = 0;
        tightestObjectiveNs = Long.MAX_VALUE;
        for (RequestClass c : next.classes) {
            longestDeadlineNs = Math.max(longestDeadlineNs, c.deadlineNs());
            long objectiveNs = Math.max(next.tickNs, c.latencyObjectiveNs());
            tightestObjectiveNs = Math.min(tightestObjectiveNs, objectiveNs);
        }
    }

    Settings get() {
        return settings;
    }

    /** The least latency objective of any class, at least one tick. */
    long tightestObjectiveNs() {
        return tightestObjectiveNs;
    }

    long longestDeadlineNs() {
        return longestDeadlineNs;
    }

    /** Differences in latency below this are treated as none. */
    double latencyResolutionNs() {
        return latencyResolutionNs;
    }
}
