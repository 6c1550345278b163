package trailthread.daemon.admin;

import java.util.Map;
import trailthread.api.Outcome;
import trailthread.engine.metrics.RejectionReason;

/**
 * All metrics at one moment. It is not changed any more, so that another thread may render it.
 *
 * @param ready whether the node is ready for clients
 * @param level the degradation level; null if none has been entered
 * @param levelSince when it was entered, in Unix time in nanoseconds
 * @param levelChanges how often each level was entered from another one, in the order of levels
 * @param readings what the level depends on, by names that end in their units
 * @param classes the metrics of each request class
 * @param rejections requests that were not admitted
 * @param attempts attempts that have ended
 * @param attemptsInFlight attempts that have not ended
 * @param healthChecks health checks that have ended
 * @param timerLateness how late a regular timer ran
 * @param clientConnections the number of connections to clients, by state
 * @param endpointConnections the number of connections to endpoints, by state
 * @param descriptorLimit how many file descriptors the node may hold
 * @param fleet the metrics of the endpoints
 */
record Snapshot(
        boolean ready,
        String level,
        long levelSince,
        Map<String, Long> levelChanges,
        Map<String, Double> readings,
        Map<String, ClassMetrics> classes,
        EnumCounts<RejectionReason> rejections,
        EnumCounts<Outcome> attempts,
        long attemptsInFlight,
        EnumCounts<Outcome> healthChecks,
        DurationHistogram timerLateness,
        Map<String, Integer> clientConnections,
        Map<String, Integer> endpointConnections,
        int descriptorLimit,
        FleetMetrics fleet) {}
