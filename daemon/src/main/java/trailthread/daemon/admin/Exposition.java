package trailthread.daemon.admin;

import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.model.snapshots.Labels;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

/** Renders a snapshot for Prometheus; docs/operations.md explains each metric to operators. */
final class Exposition {
    private static final int TYPICAL_BYTES = 64 * 1024;
    private static final double NS_PER_SECOND = 1e9;

    private final MetricFamilies families = new MetricFamilies();

    private Exposition() {}

    /**
     * Renders all metrics of a node.
     *
     * @param nodeName the node's name, as configured
     * @param writer writes the format that is wanted
     */
    static byte[] render(
            Snapshot snapshot,
            ProcessMetrics process,
            String nodeName,
            String version,
            ExpositionFormatWriter writer)
            throws IOException {
        Exposition exposition = new Exposition();
        exposition.addNode(snapshot, nodeName, version);
        exposition.addLevel(snapshot);
        exposition.addRequests(snapshot);
        exposition.addAttempts(snapshot);
        exposition.addConnections(snapshot);
        exposition.addProcess(process);
        exposition.addEndpoints(snapshot.fleet());
        ByteArrayOutputStream out = new ByteArrayOutputStream(TYPICAL_BYTES);
        writer.write(out, exposition.families.build());
        return out.toByteArray();
    }

    private void addNode(Snapshot snapshot, String nodeName, String version) {
        families.info(
                "trailthread_node",
                "The node and its version.",
                Labels.of("name", nodeName, "version", version));
        families.gauge(
                "trailthread_ready",
                "Whether the node takes clients: 1 or 0.",
                snapshot.ready() ? 1 : 0);
    }

    private void addLevel(Snapshot snapshot) {
        if (snapshot.level() != null) {
            families.stateSet(
                    "trailthread_level",
                    "The level of service.",
                    snapshot.levelChanges().keySet(),
                    snapshot.level());
            families.gauge(
                    "trailthread_level_start_time_seconds",
                    "Since when the level is held, in Unix time.",
                    snapshot.levelSince() / NS_PER_SECOND);
        }
        families.counters(
                "trailthread_level_changes",
                "How often each level was entered.",
                "level",
                snapshot.levelChanges());
        families.gauges(
                "trailthread_reading",
                "What the level rests on; each name ends in its unit.",
                "reading",
                snapshot.readings());
        families.histogram(
                "trailthread_loop_lateness_seconds",
                "How late a timer of each tenth of a second ran.",
                snapshot.timerLateness());
    }

    private void addRequests(Snapshot snapshot) {
        Map<String, ClassMetrics> classes = snapshot.classes();
        families.classCounters(
                "trailthread_calls", "Calls taken.", classes, metrics -> metrics.admitted);
        families.responseCounters("trailthread_answers", "Answers to calls taken.", classes);
        families.classCounters(
                "trailthread_calls_gone",
                "Calls whose client went before the answer.",
                classes,
                metrics -> metrics.clientsGone);
        families.classHistograms(
                "trailthread_call_duration_seconds", "From a call taken to its answer.", classes);
        families.gauge(
                "trailthread_calls_at_work",
                "Calls taken that are not answered as yet.",
                classes.values().stream().mapToLong(ClassMetrics::inFlight).sum());
        families.counters(
                "trailthread_rejected",
                "Requests answered without being taken as a call.",
                "reason",
                snapshot.rejections());
    }

    private void addAttempts(Snapshot snapshot) {
        families.counters(
                "trailthread_attempts",
                "Attempts at workers that have ended.",
                "outcome",
                snapshot.attempts());
        families.gauge(
                "trailthread_attempts_at_work",
                "Attempts at workers that have not ended.",
                snapshot.attemptsInFlight());
        families.counters(
                "trailthread_probes",
                "Probes of workers that have ended.",
                "outcome",
                snapshot.healthChecks());
    }

    private void addConnections(Snapshot snapshot) {
        families.gauges(
                "trailthread_client_connections",
                "Connections to clients.",
                "state",
                snapshot.clientConnections());
        families.gauges(
                "trailthread_worker_connections",
                "Connections to workers.",
                "state",
                snapshot.endpointConnections());
        families.gauge(
                "trailthread_descriptors_limit",
                "File descriptors that the node may hold.",
                snapshot.descriptorLimit());
    }

    private void addProcess(ProcessMetrics process) {
        families.gaugeIfKnown(
                "process_open_fds", "File descriptors held.", process.openDescriptors());
        families.gaugeIfKnown(
                "process_resident_memory_bytes", "Resident memory.", process.residentBytes());
        families.gaugeIfKnown(
                "process_start_time_seconds",
                "When the process started, in Unix time.",
                process.startSeconds());
        families.counterIfKnown(
                "process_cpu_seconds",
                "Processor time used, by users and system.",
                process.cpuSeconds());
        addHeap("jvm_memory_used_bytes", "Memory in use.", process.heapUsedBytes());
        addHeap(
                "jvm_memory_committed_bytes",
                "Memory reserved from the system.",
                process.heapCommittedBytes());
        addHeap("jvm_memory_max_bytes", "Memory that may be used.", process.heapMaxBytes());
    }

    private void addHeap(String name, String help, double bytes) {
        families.gauges(name, help, "area", Map.of("heap", bytes));
    }

    private void addEndpoints(FleetMetrics fleet) {
        families.gauges(
                "trailthread_workers",
                "Workers listed.",
                "state",
                Map.of("ready", fleet.ready(), "draining", fleet.draining()));
        families.endpointGauges(
                "trailthread_worker_in_flight",
                "Attempts of this node's at the worker.",
                fleet.worst(),
                endpoint -> endpoint.inFlight);
        families.endpointGauges(
                "trailthread_worker_queue",
                "The queue that the worker told of last.",
                fleet.worst(),
                endpoint -> endpoint.queue);
        families.endpointGauges(
                "trailthread_worker_latency_seconds",
                "Smoothed time to the answer, of attempts served.",
                fleet.worst(),
                endpoint -> endpoint.latencySeconds);
        families.endpointGauges(
                "trailthread_worker_failure_ratio",
                "Smoothed share of attempts that failed.",
                fleet.worst(),
                endpoint -> endpoint.failureRatio);
        EndpointTotals others = fleet.others();
        families.gauge(
                "trailthread_other_workers",
                "Workers without figures of their own here.",
                others.endpoints());
        families.gauge(
                "trailthread_other_workers_in_flight",
                "Attempts of this node's at these.",
                others.inFlight());
        families.gauge(
                "trailthread_other_workers_queue", "The queues of these together.", others.queue());
    }
}
