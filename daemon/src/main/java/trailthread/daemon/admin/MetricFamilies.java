package trailthread.daemon.admin;

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
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import trailthread.engine.metrics.RequestResult;

/** Collects metric families as objects of the Prometheus library. */
final class MetricFamilies {
    private static final long NO_CREATION_TIME = 0;

    private final List<MetricSnapshot> families = new ArrayList<>();

    MetricSnapshots build() {
        return new MetricSnapshots(families);
    }

    void info(String name, String help, Labels labels) {
        families.add(
                InfoSnapshot.builder()
                        .name(name)
                        .help(help)
                        .dataPoint(new InfoDataPointSnapshot(labels))
                        .build());
    }

    /** Adds a gauge without labels. */
    void gauge(String name, String help, double value) {
        families.add(
                GaugeSnapshot.builder()
                        .name(name)
                        .help(help)
                        .dataPoint(gaugePoint(value, Labels.EMPTY))
                        .build());
    }

    /** Adds a gauge without labels, unless its value is NaN. */
    void gaugeIfKnown(String name, String help, double value) {
        if (!Double.isNaN(value)) {
            gauge(name, help, value);
        }
    }

    /** Adds a gauge with a value for each value of a label. */
    void gauges(String name, String help, String label, Map<String, ? extends Number> values) {
        GaugeSnapshot.Builder gauge = GaugeSnapshot.builder().name(name).help(help);
        values.forEach(
                (labelValue, value) ->
                        gauge.dataPoint(
                                gaugePoint(value.doubleValue(), Labels.of(label, labelValue))));
        families.add(gauge.build());
    }

    /** Adds a gauge with a value for each endpoint, except where the value is NaN. */
    void endpointGauges(
            String name,
            String help,
            Collection<EndpointMetrics> endpoints,
            ToDoubleFunction<EndpointMetrics> metric) {
        GaugeSnapshot.Builder gauge = GaugeSnapshot.builder().name(name).help(help);
        for (EndpointMetrics endpoint : endpoints) {
            double value = metric.applyAsDouble(endpoint);
            if (!Double.isNaN(value)) {
                gauge.dataPoint(gaugePoint(value, Labels.of("worker", endpoint.id)));
            }
        }
        families.add(gauge.build());
    }

    /** Adds a counter with a value for each endpoint. */
    void endpointCounters(
            String name,
            String help,
            Collection<EndpointMetrics> endpoints,
            ToDoubleFunction<EndpointMetrics> metric) {
        CounterSnapshot.Builder counter = counter(name, help);
        for (EndpointMetrics endpoint : endpoints) {
            counter.dataPoint(
                    counterPoint(metric.applyAsDouble(endpoint), Labels.of("worker", endpoint.id)));
        }
        families.add(counter.build());
    }

    /** Adds a counter without labels, unless its value is NaN. */
    void counterIfKnown(String name, String help, double value) {
        if (!Double.isNaN(value)) {
            families.add(counter(name, help).dataPoint(counterPoint(value, Labels.EMPTY)).build());
        }
    }

    /** Adds a counter with a value for each value of a label. */
    void counters(String name, String help, String label, Map<String, Long> values) {
        CounterSnapshot.Builder counter = counter(name, help);
        values.forEach(
                (labelValue, value) ->
                        counter.dataPoint(counterPoint(value, Labels.of(label, labelValue))));
        families.add(counter.build());
    }

    /** Adds a counter with a value for each constant of an enum. */
    <E extends Enum<E>> void counters(
            String name, String help, String label, EnumCounts<E> counts) {
        CounterSnapshot.Builder counter = counter(name, help);
        for (E constant : counts.constants()) {
            Labels labels = Labels.of(label, MetricLabels.valueOf(constant));
            counter.dataPoint(counterPoint(counts.get(constant), labels));
        }
        families.add(counter.build());
    }

    /** Adds a counter with a value for each request class. */
    void classCounters(
            String name,
            String help,
            Map<String, ClassMetrics> classes,
            ToDoubleFunction<ClassMetrics> metric) {
        CounterSnapshot.Builder counter = counter(name, help);
        classes.forEach(
                (className, metrics) ->
                        counter.dataPoint(
                                counterPoint(
                                        metric.applyAsDouble(metrics),
                                        Labels.of("class", className))));
        families.add(counter.build());
    }

    /** Adds a counter with a value for each request class and each result. */
    void responseCounters(String name, String help, Map<String, ClassMetrics> classes) {
        CounterSnapshot.Builder counter = counter(name, help);
        for (Map.Entry<String, ClassMetrics> requestClass : classes.entrySet()) {
            EnumCounts<RequestResult> responses = requestClass.getValue().responses;
            for (RequestResult result : responses.constants()) {
                Labels labels =
                        Labels.of(
                                "class",
                                requestClass.getKey(),
                                "answer",
                                MetricLabels.valueOf(result));
                counter.dataPoint(counterPoint(responses.get(result), labels));
            }
        }
        families.add(counter.build());
    }

    /** Adds a histogram without labels. */
    void histogram(String name, String help, DurationHistogram durations) {
        families.add(
                HistogramSnapshot.builder()
                        .name(name)
                        .help(help)
                        .dataPoint(histogramPoint(durations, Labels.EMPTY))
                        .build());
    }

    /** Adds a histogram of the durations of each request class. */
    void classHistograms(String name, String help, Map<String, ClassMetrics> classes) {
        HistogramSnapshot.Builder histogram = HistogramSnapshot.builder().name(name).help(help);
        classes.forEach(
                (className, metrics) ->
                        histogram.dataPoint(
                                histogramPoint(metrics.durations, Labels.of("class", className))));
        families.add(histogram.build());
    }

    /** Adds a set of states, one of which is the current one. */
    void stateSet(String name, String help, Collection<String> states, String current) {
        String[] names = states.toArray(new String[0]);
        boolean[] isCurrent = new boolean[names.length];
        for (int i = 0; i < names.length; i++) {
            isCurrent[i] = names[i].equals(current);
        }
        families.add(
                StateSetSnapshot.builder()
                        .name(name)
                        .help(help)
                        .dataPoint(new StateSetDataPointSnapshot(names, isCurrent, Labels.EMPTY))
                        .build());
    }

    private static GaugeDataPointSnapshot gaugePoint(double value, Labels labels) {
        return new GaugeDataPointSnapshot(value, labels, null);
    }

    private static CounterSnapshot.Builder counter(String name, String help) {
        return CounterSnapshot.builder().name(name).help(help);
    }

    private static CounterDataPointSnapshot counterPoint(double value, Labels labels) {
        return new CounterDataPointSnapshot(value, labels, null, NO_CREATION_TIME);
    }

    private static HistogramDataPointSnapshot histogramPoint(
            DurationHistogram durations, Labels labels) {
        ClassicHistogramBuckets buckets =
                ClassicHistogramBuckets.of(durations.upperBoundsSeconds(), durations.counts());
        return new HistogramDataPointSnapshot(
                buckets, durations.sumSeconds(), labels, Exemplars.EMPTY, NO_CREATION_TIME);
    }
}
