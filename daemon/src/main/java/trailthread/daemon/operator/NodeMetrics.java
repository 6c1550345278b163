package trailthread.daemon.operator;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.engine.meter.Answer;
import trailthread.engine.meter.Meter;
import trailthread.engine.meter.NodeView;
import trailthread.engine.meter.Rejection;

/** Counts what happens in one node. Plain figures, as all of it happens on the loop's thread. */
final class NodeMetrics implements Meter {
    /** Past these, workers are told of by their sum. */
    static final int MOST_WORKERS_SHOWN = 1_024;

    private final Map<String, ClassFigures> classes = new LinkedHashMap<>();
    private final Map<String, WorkerFigures> workers = new HashMap<>();
    private final Map<String, Long> levelChanges = new LinkedHashMap<>();
    private final long[] rejections = new long[Rejection.values().length];
    private final long[] attempts = new long[Outcome.values().length];
    private final long[] probes = new long[Outcome.values().length];
    private final Durations lateness = new Durations();
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

    private ClassFigures of(String requestClass) {
        return classes.computeIfAbsent(requestClass, name -> new ClassFigures());
    }

    @Override
    public void taken(String requestClass) {
        of(requestClass).taken++;
    }

    @Override
    public void answered(String requestClass, Answer answer, long afterNs, long waitedNs) {
        ClassFigures figures = of(requestClass);
        figures.answers[answer.ordinal()]++;
        figures.durations.add(afterNs);
    }

    @Override
    public void gone(String requestClass) {
        of(requestClass).gone++;
    }

    @Override
    public void rejected(Rejection why) {
        rejections[why.ordinal()]++;
    }

    @Override
    public void attemptBegun(String worker) {
        attemptsAtWork++;
        WorkerFigures figures = workers.get(worker);
        if (figures != null) {
            figures.inFlight++;
        }
    }

    @Override
    public void attemptSent() {
        attemptsSent++;
    }

    @Override
    public void attemptEnded(String worker, Outcome outcome, long latencyNs, LoadReport load) {
        attemptsAtWork--;
        attempts[outcome.ordinal()]++;
        WorkerFigures figures = workers.get(worker);
        if (figures != null) {
            figures.ended(outcome, latencyNs, load);
        }
    }

    @Override
    public void healthChecked(String worker, Outcome outcome, LoadReport load) {
        probes[outcome.ordinal()]++;
        WorkerFigures figures = workers.get(worker);
        if (figures != null) {
            figures.told(load);
        }
    }

    @Override
    public void listed(ListKind kind, List<EndpointEntry> entries) {
        Map<String, WorkerFigures> before = Map.of();
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            before = new HashMap<>(workers);
            workers.clear();
        }
        for (EndpointEntry entry : entries) {
            String id = entry.endpoint();
            WorkerFigures figures = workers.getOrDefault(id, before.get(id));
            if (entry.state() == EndpointState.GONE) {
                workers.remove(id);
            } else if (figures == null) {
                workers.put(id, new WorkerFigures(id, entry.state()));
            } else {
                figures.state = entry.state();
                workers.put(id, figures);
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
    String figures(NodeView view) {
        StringBuilder out = new StringBuilder(64 * (classes.size() + 1) * Answer.values().length);
        long current = 0;
        for (Answer answer : Answer.values()) {
            for (Map.Entry<String, ClassFigures> e : classes.entrySet()) {
                out.append("app_")
                        .append(wordFor(answer))
                        .append("{group=\"")
                        .append(escaped(e.getKey()))
                        .append("\"} ")
                        .append(e.getValue().answers[answer.ordinal()])
                        .append('\n');
            }
        }
        for (ClassFigures figures : classes.values()) {
            current += figures.atWork();
        }
        figure(out, "sends", attemptsSent);
        figure(out, "current", current);
        figure(out, "cluster_size", workers.size());
        figure(out, "cluster_unhealthy", view.avoidedWorkers());
        figure(out, "conf_loaded", reloadsTaken);
        figure(out, "conf_invalid", reloadsTurnedDown);
        return out.toString();
    }

    private static String wordFor(Answer answer) {
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

    Snapshot snapshot(NodeView view) {
        Map<String, Long> changes = new LinkedHashMap<>();
        view.levels().forEach(name -> changes.put(name, 0L));
        if (level != null) {
            changes.putIfAbsent(level, 0L);
        }
        changes.putAll(levelChanges);
        Map<String, ClassFigures> copies = new LinkedHashMap<>();
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
                new LinkedHashMap<>(view.workerConnections()),
                view.descriptorLimit(),
                FleetFigures.of(workers.values(), MOST_WORKERS_SHOWN));
    }
}
