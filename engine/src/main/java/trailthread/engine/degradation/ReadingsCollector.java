package trailthread.engine.degradation;

import java.util.List;
import java.util.function.DoubleSupplier;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.LoadReportSource;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.degradation.Readings;
import trailthread.degradation.SheddingOrder;
import trailthread.engine.metrics.RequestResult;

/**
 * Collects the readings that determine the degradation level, from the node's events and from its
 * use of memory, CPU and descriptors. All times are passed in, in nanoseconds.
 */
final class ReadingsCollector {
    private final LoadReportSource reports;
    private final FailingEndpointRate failing;
    private final LoadReportAge reportAge;
    private final StarvationRate starvation;
    private final MemoryInUse memory = new MemoryInUse();
    private CpuThrottling cpu;
    private DoubleSupplier descriptors;

    ReadingsCollector(Settings settings, SheddingOrder order, long now) {
        reports = settings.reports;
        failing =
                new FailingEndpointRate(
                        settings.classes.stream()
                                .mapToLong(RequestClass::latencyObjectiveNs)
                                .min()
                                .orElseThrow());
        reportAge = new LoadReportAge(now);
        starvation = new StarvationRate(settings.classes, order, now);
    }

    /**
     * Must be called before {@link #collect}, on the thread whose CPU throttling is read.
     *
     * @param descriptors the fraction of file descriptors in use, 0 to 1
     */
    void start(DoubleSupplier descriptors) {
        this.descriptors = descriptors;
        cpu = CpuThrottling.open();
    }

    /**
     * Takes all readings.
     *
     * @param latenessNs how late the loop's timer ran
     */
    Readings collect(long now, long latenessNs) {
        Runtime runtime = Runtime.getRuntime();
        long memoryInUse = memory.addSample(runtime.totalMemory() - runtime.freeMemory());
        return new Readings(
                now,
                failing.rate(now),
                reports == LoadReportSource.NONE ? Double.NaN : reportAge.ageNs(),
                latenessNs,
                descriptors.getAsDouble(),
                (double) memoryInUse / runtime.maxMemory(),
                starvation.rate(now),
                cpu.fractionSinceLastCall(now));
    }

    /** A request was shed by the current level; its rejection follows. */
    void requestShed(String requestClass) {
        starvation.requestShed(requestClass);
    }

    /**
     * A request was answered.
     *
     * @param queuedNs from its admission to its first attempt; -1: there was none
     */
    void requestAnswered(String requestClass, RequestResult result, long queuedNs, long now) {
        starvation.requestAnswered(requestClass, result, queuedNs, now);
    }

    /**
     * An attempt has ended.
     *
     * @param latencyNs -1: unknown
     * @param load the load report that came with the answer, or null
     */
    void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load, long now) {
        failing.attemptEnded(endpoint, outcome, latencyNs, now);
        boolean expected = reports == LoadReportSource.RESPONSES && outcome == Outcome.OK;
        recordLoadReport(load, expected, now);
    }

    /**
     * A health check has ended.
     *
     * @param load the endpoint's load report, or null
     */
    void healthChecked(LoadReport load, long now) {
        recordLoadReport(load, reports == LoadReportSource.HEALTH_CHECKS, now);
    }

    private void recordLoadReport(LoadReport load, boolean expected, long now) {
        if (load != null) {
            reportAge.reportReceived(now);
        } else if (expected) {
            reportAge.reportMissed(now);
        }
    }

    /** The endpoint list was updated. */
    void endpointListUpdated(ListKind kind, List<EndpointEntry> entries) {
        failing.endpointListUpdated(kind, entries);
    }
}
