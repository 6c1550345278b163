package trailthread.daemon.admin;

import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.model.snapshots.Labels;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

/** Renders a snapshot for Prometheus. docs/operations.md explains each metric to operators. */
final class Exposition {
    private static final int TYPICAL_BYTES = 64 * 1024;
    private static final double NS_PER_SECOND = 1e9;

    private final MetricFamilies families = new MetricFamilies();

    private Exposition() {}

    /**
     * Renders all metrics of a node.
     *
     * @param nodeName the configured name of the node
     * @param writer writes the requested format
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
        exposition.addMessageMemory(snapshot);
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
                "Whether the node is ready for clients: 1 or 0.",
                snapshot.ready() ? 1 : 0);
    }

    private void addLevel(Snapshot snapshot) {
        if (snapshot.level() != null) {
            families.stateSet(
                    "trailthread_level",
                    "Current degradation level.",
                    snapshot.levelChanges().keySet(),
                    snapshot.level());
            families.gauge(
                    "trailthread_level_start_time_seconds",
                    "When the current degradation level was entered, in Unix time.",
                    snapshot.levelSince() / NS_PER_SECOND);
        }
        families.counters(
                "trailthread_level_changes",
                "Changes to each degradation level.",
                "level",
                snapshot.levelChanges());
        families.gauges(
                "trailthread_reading",
                "Readings that determine the degradation level; each name ends in its unit.",
                "reading",
                snapshot.readings());
        families.histogram(
                "trailthread_loop_lateness_seconds",
                "Lateness of a timer that runs every 0.1 seconds on the event loop.",
                snapshot.timerLateness());
    }

    private void addRequests(Snapshot snapshot) {
        Map<String, ClassMetrics> classes = snapshot.classes();
        families.classCounters(
                "trailthread_calls", "Requests admitted.", classes, metrics -> metrics.admitted);
        families.responseCounters(
                "trailthread_answers", "Responses to admitted requests.", classes);
        families.classCounters(
                "trailthread_calls_gone",
                "Admitted requests whose client disconnected before the response.",
                classes,
                metrics -> metrics.clientDisconnects);
        families.classHistograms(
                "trailthread_call_duration_seconds",
                "Time from admitting a request to its response.",
                classes);
        families.gauge(
                "trailthread_calls_at_work",
                "Requests admitted and not yet answered.",
                classes.values().stream().mapToLong(ClassMetrics::inFlight).sum());
        families.counters(
                "trailthread_rejected",
                "Requests rejected without being admitted.",
                "reason",
                snapshot.rejections());
    }

    private void addAttempts(Snapshot snapshot) {
        families.counters(
                "trailthread_attempts",
                "Attempts at endpoints that have ended.",
                "outcome",
                snapshot.attempts());
        families.gauge(
                "trailthread_attempts_at_work",
                "Attempts at endpoints that have not ended.",
                snapshot.attemptsInFlight());
        families.counters(
                "trailthread_probes",
                "Health checks of endpoints that have ended.",
                "outcome",
                snapshot.healthChecks());
    }

    private void addConnections(Snapshot snapshot) {
        families.gauges(
                "trailthread_client_connections",
                "Connections from clients.",
                "state",
                snapshot.clientConnections());
        families.gauges(
                "trailthread_worker_connections",
                "Connections to endpoints.",
                "state",
                snapshot.endpointConnections());
        families.gauge(
                "trailthread_descriptors_limit",
                "File descriptors that the node may hold.",
                snapshot.descriptorLimit());
    }

    private void addMessageMemory(Snapshot snapshot) {
        families.gauge(
                "trailthread_message_memory_bytes",
                "Memory held by requests and responses.",
                snapshot.messageMemoryBytes());
    }

    private void addProcess(ProcessMetrics process) {
        families.gaugeIfKnown(
                "process_open_fds", "Open file descriptors.", process.openDescriptors());
        families.gaugeIfKnown(
                "process_resident_memory_bytes", "Resident memory.", process.residentBytes());
        families.gaugeIfKnown(
                "process_start_time_seconds",
                "When the process started, in Unix time.",
                process.startSeconds());
        families.counterIfKnown(
                "process_cpu_seconds", "User and system CPU time used.", process.cpuSeconds());
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
                "Endpoints listed.",
                "state",
                Map.of("ready", fleet.readyCount(), "draining", fleet.drainingCount()));
        families.endpointGauges(
                "trailthread_worker_in_flight",
                "Attempts of this node in flight at the endpoint.",
                fleet.worstEndpoints(),
                endpoint -> endpoint.inFlight);
        families.endpointGauges(
                "trailthread_worker_queue",
                "Queue length that the endpoint last reported.",
                fleet.worstEndpoints(),
                endpoint -> endpoint.queue);
        families.endpointGauges(
                "trailthread_worker_latency_seconds",
                "Smoothed latency of successful attempts.",
                fleet.worstEndpoints(),
                endpoint -> endpoint.latencySeconds);
        families.endpointGauges(
                "trailthread_worker_failure_ratio",
                "Smoothed share of attempts that failed.",
                fleet.worstEndpoints(),
                endpoint -> endpoint.failureRatio);
        families.endpointCounters(
                "trailthread_worker_surplus_responses",
                "Connections closed because the endpoint sent bytes that no request asked for.",
                fleet.worstEndpoints(),
                endpoint -> endpoint.surplus);
        addOtherEndpoints(fleet.otherEndpoints());
    }

    private void addOtherEndpoints(EndpointTotals others) {
        families.gauge(
                "trailthread_other_workers",
                "Endpoints without metrics of their own here.",
                others.endpointCount());
        families.gauge(
                "trailthread_other_workers_in_flight",
                "Attempts of this node in flight at endpoints without metrics of their own.",
                others.inFlight());
        families.gauge(
                "trailthread_other_workers_queue",
                "Total queue length of endpoints without metrics of their own.",
                others.queue());
    }
}
