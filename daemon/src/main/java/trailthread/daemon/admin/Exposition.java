package trailthread.daemon.admin;

import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Exemplars;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot.HistogramDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.InfoSnapshot;
import io.prometheus.metrics.model.snapshots.InfoSnapshot.InfoDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.prometheus.metrics.model.snapshots.StateSetSnapshot;
import io.prometheus.metrics.model.snapshots.StateSetSnapshot.StateSetDataPointSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import trailthread.api.Outcome;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.metrics.RequestResult;

/** Tells a snapshot in Prometheus' terms; docs/operations.md explains each metric to operators. */
final class Exposition {
    private static final int USUAL_BYTES = 64 * 1024;

    private final List<MetricSnapshot> all = new ArrayList<>();

    private Exposition() {}

    static byte[] render(
            Snapshot s,
            ProcessMetrics process,
            String name,
            String version,
            ExpositionFormatWriter writer)
            throws IOException {
        Exposition e = new Exposition();
        e.all.add(
                InfoSnapshot.builder()
                        .name("trailthread_node")
                        .help("The node and its version.")
                        .dataPoint(
                                new InfoDataPointSnapshot(
                                        Labels.of("name", name, "version", version)))
                        .build());
        e.gauge("trailthread_ready", "Whether the node takes clients: 1 or 0.", s.ready() ? 1 : 0);
        e.level(s);
        e.calls(s);
        e.attempts(s);
        e.connections(s);
        e.process(process);
        e.endpoints(s.fleet());
        ByteArrayOutputStream out = new ByteArrayOutputStream(USUAL_BYTES);
        writer.write(out, new MetricSnapshots(e.all));
        return out.toByteArray();
    }

    private void level(Snapshot s) {
        if (s.level() != null) {
            String[] names = s.levelChanges().keySet().toArray(new String[0]);
            boolean[] current = new boolean[names.length];
            for (int i = 0; i < names.length; i++) {
                current[i] = names[i].equals(s.level());
            }
            all.add(
                    StateSetSnapshot.builder()
                            .name("trailthread_level")
                            .help("The level of service.")
                            .dataPoint(new StateSetDataPointSnapshot(names, current, Labels.EMPTY))
                            .build());
            gauge(
                    "trailthread_level_start_time_seconds",
                    "Since when the level is held, in Unix time.",
                    s.levelSince() / 1e9);
        }
        counters(
                "trailthread_level_changes",
                "How often each level was entered.",
                "level",
                s.levelChanges());
        gauges(
                "trailthread_reading",
                "What the level rests on; each name ends in its unit.",
                "reading",
                s.readings());
        HistogramSnapshot.Builder late =
                HistogramSnapshot.builder()
                        .name("trailthread_loop_lateness_seconds")
                        .help("How late a timer of each tenth of a second ran.");
        all.add(late.dataPoint(histogram(s.lateness(), Labels.EMPTY)).build());
    }

    private void calls(Snapshot s) {
        CounterSnapshot.Builder taken = counter("trailthread_calls", "Calls taken.");
        CounterSnapshot.Builder answers = counter("trailthread_answers", "Answers to calls taken.");
        CounterSnapshot.Builder gone =
                counter("trailthread_calls_gone", "Calls whose client went before the answer.");
        HistogramSnapshot.Builder durations =
                HistogramSnapshot.builder()
                        .name("trailthread_call_duration_seconds")
                        .help("From a call taken to its answer.");
        long atWork = 0;
        for (Map.Entry<String, ClassMetrics> e : s.classes().entrySet()) {
            ClassMetrics figures = e.getValue();
            Labels labels = Labels.of("class", e.getKey());
            taken.dataPoint(count(figures.taken, labels));
            for (RequestResult answer : RequestResult.values()) {
                answers.dataPoint(
                        count(
                                figures.answers[answer.ordinal()],
                                Labels.of("class", e.getKey(), "answer", MetricLabels.of(answer))));
            }
            gone.dataPoint(count(figures.gone, labels));
            durations.dataPoint(histogram(figures.durations, labels));
            atWork += figures.atWork();
        }
        all.add(taken.build());
        all.add(answers.build());
        all.add(gone.build());
        all.add(durations.build());
        gauge("trailthread_calls_at_work", "Calls taken that are not answered as yet.", atWork);
        counters(
                "trailthread_rejected",
                "Requests answered without being taken as a call.",
                "reason",
                RejectionReason.values(),
                s.rejections());
    }

    private void attempts(Snapshot s) {
        counters(
                "trailthread_attempts",
                "Attempts at workers that have ended.",
                "outcome",
                Outcome.values(),
                s.attempts());
        gauge(
                "trailthread_attempts_at_work",
                "Attempts at workers that have not ended.",
                s.attemptsAtWork());
        counters(
                "trailthread_probes",
                "Probes of workers that have ended.",
                "outcome",
                Outcome.values(),
                s.probes());
    }

    private void connections(Snapshot s) {
        gauges(
                "trailthread_client_connections",
                "Connections to clients.",
                "state",
                s.clientConnections());
        gauges(
                "trailthread_worker_connections",
                "Connections to workers.",
                "state",
                s.endpointConnections());
        gauge(
                "trailthread_descriptors_limit",
                "File descriptors that the node may hold.",
                s.descriptorLimit());
    }

    private void process(ProcessMetrics process) {
        known("process_open_fds", "File descriptors held.", process.openDescriptors());
        known("process_resident_memory_bytes", "Resident memory.", process.residentBytes());
        known(
                "process_start_time_seconds",
                "When the process started, in Unix time.",
                process.startSeconds());
        if (!Double.isNaN(process.cpuSeconds())) {
            all.add(
                    counter("process_cpu_seconds", "Processor time used, by users and system.")
                            .dataPoint(count(process.cpuSeconds(), Labels.EMPTY))
                            .build());
        }
        gauges(
                "jvm_memory_used_bytes",
                "Memory in use.",
                "area",
                Map.of("heap", process.heapUsedBytes()));
        gauges(
                "jvm_memory_committed_bytes",
                "Memory reserved from the system.",
                "area",
                Map.of("heap", process.heapCommittedBytes()));
        gauges(
                "jvm_memory_max_bytes",
                "Memory that may be used.",
                "area",
                Map.of("heap", process.heapMostBytes()));
    }

    private void endpoints(FleetMetrics fleet) {
        gauges(
                "trailthread_workers",
                "Workers listed.",
                "state",
                Map.of("ready", fleet.ready(), "draining", fleet.draining()));
        each(
                "trailthread_worker_in_flight",
                "Attempts of this node's at the worker.",
                fleet,
                w -> w.inFlight);
        each(
                "trailthread_worker_queue",
                "The queue that the worker told of last.",
                fleet,
                w -> w.queue);
        each(
                "trailthread_worker_latency_seconds",
                "Smoothed time to the answer, of attempts served.",
                fleet,
                w -> w.latencyS);
        each(
                "trailthread_worker_failure_ratio",
                "Smoothed share of attempts that failed.",
                fleet,
                w -> w.failureRatio);
        gauge(
                "trailthread_other_workers",
                "Workers without figures of their own here.",
                fleet.rest());
        gauge(
                "trailthread_other_workers_in_flight",
                "Attempts of this node's at these.",
                fleet.restInFlight());
        gauge(
                "trailthread_other_workers_queue",
                "The queues of these together.",
                fleet.restQueue());
    }

    private void each(
            String name,
            String help,
            FleetMetrics fleet,
            ToDoubleFunction<EndpointMetrics> figure) {
        GaugeSnapshot.Builder gauge = GaugeSnapshot.builder().name(name).help(help);
        for (EndpointMetrics endpoint : fleet.worst()) {
            double value = figure.applyAsDouble(endpoint);
            if (!Double.isNaN(value)) {
                gauge.dataPoint(
                        new GaugeDataPointSnapshot(value, Labels.of("worker", endpoint.id), null));
            }
        }
        all.add(gauge.build());
    }

    private void gauge(String name, String help, double value) {
        all.add(
                GaugeSnapshot.builder()
                        .name(name)
                        .help(help)
                        .dataPoint(new GaugeDataPointSnapshot(value, Labels.EMPTY, null))
                        .build());
    }

    private void known(String name, String help, double value) {
        if (!Double.isNaN(value)) {
            gauge(name, help, value);
        }
    }

    private void gauges(
            String name, String help, String label, Map<String, ? extends Number> values) {
        GaugeSnapshot.Builder gauge = GaugeSnapshot.builder().name(name).help(help);
        values.forEach(
                (key, value) ->
                        gauge.dataPoint(
                                new GaugeDataPointSnapshot(
                                        value.doubleValue(), Labels.of(label, key), null)));
        all.add(gauge.build());
    }

    private void counters(String name, String help, String label, Map<String, Long> values) {
        CounterSnapshot.Builder counter = counter(name, help);
        values.forEach((key, value) -> counter.dataPoint(count(value, Labels.of(label, key))));
        all.add(counter.build());
    }

    private void counters(String name, String help, String label, Enum<?>[] keys, long[] values) {
        CounterSnapshot.Builder counter = counter(name, help);
        for (Enum<?> key : keys) {
            counter.dataPoint(count(values[key.ordinal()], Labels.of(label, MetricLabels.of(key))));
        }
        all.add(counter.build());
    }

    private static CounterSnapshot.Builder counter(String name, String help) {
        return CounterSnapshot.builder().name(name).help(help);
    }

    private static CounterDataPointSnapshot count(double value, Labels labels) {
        return new CounterDataPointSnapshot(value, labels, null, 0);
    }

    private static HistogramDataPointSnapshot histogram(
            DurationHistogram durations, Labels labels) {
        ClassicHistogramBuckets buckets =
                ClassicHistogramBuckets.of(durations.upTo(), durations.counts());
        return new HistogramDataPointSnapshot(
                buckets, durations.sumSeconds(), labels, Exemplars.EMPTY, 0);
    }
}
