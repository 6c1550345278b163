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

/** Counts what happens in one node. Plain figures, as all of it happens on the loop's thread. */
final class NodeMetrics implements MetricsRecorder {
    /** Past these, endpoints are told of by their sum. */
    static final int MOST_ENDPOINTS_SHOWN = 1_024;

    private final Map<String, ClassMetrics> classes = new LinkedHashMap<>();
    private final Map<String, EndpointMetrics> endpoints = new HashMap<>();
    private final Map<String, Long> levelChanges = new LinkedHashMap<>();
    private final long[] rejections = new long[RejectionReason.values().length];
    private final long[] attempts = new long[Outcome.values().length];
    private final long[] probes = new long[Outcome.values().length];
    private final DurationHistogram lateness = new DurationHistogram();
    private long attemptsAtWork;
    private long attemptsSent;
    private long reloadsTaken;
    private long reloadsTurnedDown;
    private String level;
    private long levelSince;

    /**
     * @param classes those told of with noughts before their first call
     */
    NodeMetrics(List<String> classes) {
        classes.forEach(this::of);
    }

    /** Tells of a class from now on, with noughts before its first call. */
    void serves(String requestClass) {
        of(requestClass);
    }

    private ClassMetrics of(String requestClass) {
        return classes.computeIfAbsent(requestClass, name -> new ClassMetrics());
    }

    @Override
    public void taken(String requestClass) {
        of(requestClass).taken++;
    }

    @Override
    public void answered(String requestClass, RequestResult answer, long afterNs, long waitedNs) {
        ClassMetrics figures = of(requestClass);
        figures.answers[answer.ordinal()]++;
        figures.durations.add(afterNs);
    }

    @Override
    public void gone(String requestClass) {
        of(requestClass).gone++;
    }

    @Override
    public void rejected(RejectionReason why) {
        rejections[why.ordinal()]++;
    }

    @Override
    public void attemptBegun(String endpoint) {
        attemptsAtWork++;
        EndpointMetrics figures = endpoints.get(endpoint);
        if (figures != null) {
            figures.inFlight++;
        }
    }

    @Override
    public void attemptSent() {
        attemptsSent++;
    }

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        attemptsAtWork--;
        attempts[outcome.ordinal()]++;
        EndpointMetrics figures = endpoints.get(endpoint);
        if (figures != null) {
            figures.ended(outcome, latencyNs, load);
        }
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        probes[outcome.ordinal()]++;
        EndpointMetrics figures = endpoints.get(endpoint);
        if (figures != null) {
            figures.told(load);
        }
    }

    @Override
    public void listed(ListKind kind, List<EndpointEntry> entries) {
        Map<String, EndpointMetrics> before = Map.of();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            before = new HashMap<>(endpoints);
            endpoints.clear();
        }
        for (EndpointEntry entry : entries) {
            String id = entry.endpoint();
            EndpointMetrics figures = endpoints.getOrDefault(id, before.get(id));
            if (entry.state() == EndpointState.GONE) {
                endpoints.remove(id);
            } else if (figures == null) {
                endpoints.put(id, new EndpointMetrics(id, entry.state()));
            } else {
                figures.state = entry.state();
                endpoints.put(id, figures);
            }
        }
    }

    @Override
    public void reloaded(boolean taken) {
        reloadsTaken += taken ? 1 : 0;
        reloadsTurnedDown += taken ? 0 : 1;
    }

    @Override
    public void levelEntered(long now, String entered) {
        if (entered.equals(level)) {
            return;
        }
        if (level != null) {
            levelChanges.merge(entered, 1L, Long::sum);
        }
        level = entered;
        levelSince = now;
    }

    /** A timer ran so long after it was due. */
    void late(long ns) {
        lateness.add(ns);
    }

    /**
     * The figures that the operators ask for by names of their own, one a line; docs/operations.md
     * explains them. By hand, as Prometheus' writers would add an ending to each counter's name,
     * and so that none is older than the answer.
     */
    String figures(NodeStatus view) {
        StringBuilder out =
                new StringBuilder(64 * (classes.size() + 1) * RequestResult.values().length);
        long current = 0;
        for (RequestResult answer : RequestResult.values()) {
            for (Map.Entry<String, ClassMetrics> e : classes.entrySet()) {
                out.append("app_")
                        .append(wordFor(answer))
                        .append("{group=\"")
                        .append(escaped(e.getKey()))
                        .append("\"} ")
                        .append(e.getValue().answers[answer.ordinal()])
                        .append('\n');
            }
        }
        for (ClassMetrics figures : classes.values()) {
            current += figures.atWork();
        }
        figure(out, "sends", attemptsSent);
        figure(out, "current", current);
        figure(out, "cluster_size", endpoints.size());
        figure(out, "cluster_unhealthy", view.avoidedEndpoints());
        figure(out, "conf_loaded", reloadsTaken);
        figure(out, "conf_invalid", reloadsTurnedDown);
        return out.toString();
    }

    private static String wordFor(RequestResult answer) {
        return switch (answer) {
            case SERVED -> "answered";
            case REFUSED -> "deferred";
            case FAILED -> "errored";
        };
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }

    private static void figure(StringBuilder out, String name, long value) {
        out.append("app_").append(name).append(' ').append(value).append('\n');
    }

    Snapshot snapshot(NodeStatus view) {
        Map<String, Long> changes = new LinkedHashMap<>();
        view.levels().forEach(name -> changes.put(name, 0L));
        if (level != null) {
            changes.putIfAbsent(level, 0L);
        }
        changes.putAll(levelChanges);
        Map<String, ClassMetrics> copies = new LinkedHashMap<>();
        classes.forEach((name, figures) -> copies.put(name, figures.copy()));
        return new Snapshot(
                view.isReady(),
                level,
                levelSince,
                changes,
                new LinkedHashMap<>(view.readings()),
                copies,
                rejections.clone(),
                attempts.clone(),
                attemptsAtWork,
                probes.clone(),
                lateness.copy(),
                new LinkedHashMap<>(view.clientConnections()),
                new LinkedHashMap<>(view.endpointConnections()),
                view.descriptorLimit(),
                FleetMetrics.of(endpoints.values(), MOST_ENDPOINTS_SHOWN));
    }
}
