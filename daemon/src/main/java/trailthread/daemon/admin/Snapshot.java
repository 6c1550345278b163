package trailthread.daemon.admin;

import java.util.Map;
import trailthread.api.Outcome;
import trailthread.engine.metrics.RejectionReason;

/**
 * All metrics at one time. Nothing changes a snapshot after it is taken, so another thread may
 * render it.
 *
 * @param ready whether the node is ready for clients
 * @param level the degradation level; null if none has been entered
 * @param levelSince when the level was entered, in nanoseconds of Unix time
 * @param levelChanges the number of changes to each level, in the order of levels
 * @param readings the readings that determine the level, by names that end in their units
 * @param classes the metrics of each request class
 * @param rejections requests that were not admitted
 * @param attempts attempts that have ended
 * @param attemptsInFlight attempts that have not ended
 * @param healthChecks health checks that have ended
 * @param timerLateness how late the periodic timer ran
 * @param clientConnections the number of connections to clients, by state
 * @param endpointConnections the number of connections to endpoints, by state
 * @param messageMemoryBytes how many bytes of the memory budget requests and responses hold
 * @param descriptorLimit the maximum number of file descriptors of the node
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
        long messageMemoryBytes,
        int descriptorLimit,
        FleetMetrics fleet) {}
