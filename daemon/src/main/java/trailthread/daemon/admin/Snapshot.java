package trailthread.daemon.admin;

import java.util.Map;

/**
 * All figures of one moment. Nothing changes it, so that it may be rendered beside the loop.
 *
 * @param level or null if the node has told of none
 * @param levelSince Unix time in nanoseconds
 * @param levelChanges how often each level was entered from another one, in the order of levels
 * @param rejections by the ordinal of {@link trailthread.engine.metrics.Rejection}
 * @param attempts those ended, by the ordinal of {@link trailthread.Outcome}; so are probes
 */
record Snapshot(
        boolean ready,
        String level,
        long levelSince,
        Map<String, Long> levelChanges,
        Map<String, Double> readings,
        Map<String, ClassMetrics> classes,
        long[] rejections,
        long[] attempts,
        long attemptsAtWork,
        long[] probes,
        DurationHistogram lateness,
        Map<String, Integer> clientConnections,
        Map<String, Integer> endpointConnections,
        int descriptorLimit,
        FleetMetrics fleet) {}
