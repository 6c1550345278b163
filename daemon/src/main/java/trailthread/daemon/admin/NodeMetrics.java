package trailthread.daemon.admin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.NodeStatus;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.metrics.RequestResult;

/** Records the events of one node as metrics. All methods run on the loop's thread. */
final class NodeMetrics implements MetricsRecorder {
    /**
     * Maximum number of endpoints with metrics of their own in a snapshot; others are summed up.
     */
    static final int MAX_SEPARATE_ENDPOINTS = 1_024;

    private final Map<String, ClassMetrics> classes = new LinkedHashMap<>();
    private final Map<String, EndpointMetrics> endpoints = new HashMap<>();
    private final Map<String, Long> levelChanges = new LinkedHashMap<>();
    private final EnumCounts<RejectionReason> rejections = new EnumCounts<>(RejectionReason.class);
    private final EnumCounts<Outcome> attempts = new EnumCounts<>(Outcome.class);
    private final EnumCounts<Outcome> healthChecks = new EnumCounts<>(Outcome.class);
    private final DurationHistogram timerLateness = new DurationHistogram();
    private long attemptsInFlight;
    private long attemptsSent;
    private long reloadsApplied;
    private long reloadsRejected;
    private String level;
    private long levelSince;

    /**
     * Makes the metrics of a node.
     *
     * @param classes request classes whose metrics are exported before their first request
     */
    NodeMetrics(List<String> classes) {
        classes.forEach(this::addClass);
    }

    /** Adds a request class, whose metrics are exported as 0 before its first request. */
    void addClass(String requestClass) {
        metricsOf(requestClass);
    }

    private ClassMetrics metricsOf(String requestClass) {
        return classes.computeIfAbsent(requestClass, name -> new ClassMetrics());
    }

    @Override
    public void requestAdmitted(String requestClass) {
        metricsOf(requestClass).admitted++;
    }

    @Override
    public void requestAnswered(
            String requestClass, RequestResult result, long latencyNs, long queuedNs) {
        ClassMetrics metrics = metricsOf(requestClass);
        metrics.responses.increment(result);
        metrics.durations.add(latencyNs);
    }

    @Override
    public void clientDisconnected(String requestClass) {
        metricsOf(requestClass).clientDisconnects++;
    }

    @Override
    public void requestRejected(RejectionReason reason) {
        rejections.increment(reason);
    }

    @Override
    public void attemptStarted(String endpoint) {
        attemptsInFlight++;
        EndpointMetrics metrics = endpoints.get(endpoint);
        if (metrics != null) {
            metrics.inFlight++;
        }
    }

    @Override
    public void attemptSent() {
        attemptsSent++;
    }

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        attemptsInFlight--;
        attempts.increment(outcome);
        EndpointMetrics metrics = endpoints.get(endpoint);
        if (metrics != null) {
            metrics.recordAttempt(outcome, latencyNs, load);
        }
    }

    @Override
    public void surplusReceived(String endpoint) {
        EndpointMetrics metrics = endpoints.get(endpoint);
        if (metrics != null) {
            metrics.surplus++;
        }
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        healthChecks.increment(outcome);
        EndpointMetrics metrics = endpoints.get(endpoint);
        if (metrics != null) {
            metrics.recordLoad(load);
        }
    }

    @Override
    public void endpointListUpdated(ListKind kind, List<EndpointEntry> entries) {
        Map<String, EndpointMetrics> previous = Map.of();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            previous = new HashMap<>(endpoints);
            endpoints.clear();
        }
        for (EndpointEntry entry : entries) {
            String id = entry.endpoint();
            EndpointMetrics metrics = endpoints.getOrDefault(id, previous.get(id));
            if (entry.state() == EndpointState.GONE) {
                endpoints.remove(id);
            } else if (metrics == null) {
                endpoints.put(id, new EndpointMetrics(id, entry.state()));
            } else {
                metrics.state = entry.state();
                endpoints.put(id, metrics);
            }
        }
    }

    @Override
    public void configurationReloaded(boolean applied) {
        if (applied) {
            reloadsApplied++;
        } else {
            reloadsRejected++;
        }
    }

    @Override
    public void degradationLevelEntered(long now, String entered) {
        if (entered.equals(level)) {
            return;
        }
        if (level != null) {
            levelChanges.merge(entered, 1L, Long::sum);
        }
        level = entered;
        levelSince = now;
    }

    /** Records how long after its deadline the periodic timer ran. */
    void recordTimerLateness(long latenessNs) {
        timerLateness.add(latenessNs);
    }

    /** The current values of the metrics whose names the operators have prescribed. */
    AppMetrics appMetrics(NodeStatus status) {
        return new AppMetrics(
                classes,
                attemptsSent,
                endpoints.size(),
                status.avoidedEndpoints(),
                reloadsApplied,
                reloadsRejected);
    }

    /** Copies all metrics and the node's status. */
    Snapshot snapshot(NodeStatus status) {
        Map<String, ClassMetrics> classCopies = new LinkedHashMap<>();
        classes.forEach((name, metrics) -> classCopies.put(name, metrics.copy()));
        return new Snapshot(
                status.isReady(),
                level,
                levelSince,
                levelChanges(status.levels()),
                new LinkedHashMap<>(status.readings()),
                classCopies,
                rejections.copy(),
                attempts.copy(),
                attemptsInFlight,
                healthChecks.copy(),
                timerLateness.copy(),
                new LinkedHashMap<>(status.clientConnections()),
                new LinkedHashMap<>(status.endpointConnections()),
                status.messageMemoryBytes(),
                status.descriptorLimit(),
                FleetMetrics.summarize(endpoints.values(), MAX_SEPARATE_ENDPOINTS));
    }

    /**
     * The number of changes to each level, in the order of the levels; 0 if it was never entered.
     */
    private Map<String, Long> levelChanges(List<String> levels) {
        Map<String, Long> changes = new LinkedHashMap<>();
        levels.forEach(name -> changes.put(name, 0L));
        if (level != null) {
            changes.putIfAbsent(level, 0L);
        }
        changes.putAll(levelChanges);
        return changes;
    }
}
