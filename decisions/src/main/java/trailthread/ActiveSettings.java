package trailthread;

import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** The settings in force, and values that several modules derive from them. */
final class ActiveSettings {
    private Settings settings;
    private long tightestObjectiveNs;
    private long longestDeadlineNs;
    private double latencyResolutionNs;

    /**
     * @throws IllegalArgumentException if a setting is out of range; the message names the first
     *     one
     */
    ActiveSettings(Settings settings) {
        replace(settings);
    }

    /**
     * Replaces the settings; keeps the current ones if the new ones are invalid.
     *
     * @throws IllegalArgumentException if a setting is out of range; the message names the first
     *     one
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

    /** The smallest latency objective of any class, at least one tick. */
    long tightestObjectiveNs() {
        return tightestObjectiveNs;
    }

    long longestDeadlineNs() {
        return longestDeadlineNs;
    }

    /** Latencies that differ by less than this count as equal. */
    double latencyResolutionNs() {
        return latencyResolutionNs;
    }
}
