package trailthread.engine.degradation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.api.Admission;
import trailthread.api.EndpointEntry;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.LoadReportSource;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.degradation.Change;
import trailthread.degradation.Change.Cause;
import trailthread.degradation.DegradationController;
import trailthread.degradation.DegradationLevel;
import trailthread.degradation.Reading;
import trailthread.degradation.Readings;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.metrics.RequestResult;

/**
 * The node's level of service: gathers the readings, four times a second, and does what the level
 * says. It hears the node's events as a meter before the operators'. A node without levels makes
 * none, and then loads no class of this package.
 */
public final class DegradationService implements MetricsRecorder {
    private static final Logger LOG = LoggerFactory.getLogger(DegradationService.class);
    private static final long EVERY_NS = 250_000_000L;

    private final EventLoop loop;
    private final DegradationConfig config;
    private final MetricsRecorder next;
    private final LoadReportSource reports;
    private final DegradationController levels;
    private final FailingEndpointRate failing;
    private final LoadReportAge reportAge;
    private final StarvationRate starved;
    private final MemoryInUse memory = new MemoryInUse();
    private final HealthCheckThinning probes = new HealthCheckThinning();
    private CpuThrottling cpu;
    private DoubleSupplier descriptors;
    private Consumer<Admission> admit;
    private Readings readings;

    /** When the next readings are to be taken: how late they are tells how late the loop runs. */
    private long dueAt;

    /**
     * Makes one at full service, which reads nothing yet.
     *
     * @param next hears all that this one hears, and of the levels
     */
    public DegradationService(
            EventLoop loop, DegradationConfig config, Settings settings, MetricsRecorder next) {
        this.loop = loop;
        this.config = config;
        this.next = next;
        reports = settings.reports;
        levels = new DegradationController(config.plan(), config.order());
        failing =
                new FailingEndpointRate(
                        settings.classes.stream()
                                .mapToLong(RequestClass::latencyObjectiveNs)
                                .min()
                                .orElseThrow());
        reportAge = new LoadReportAge(loop.now());
        starved = new StarvationRate(settings.classes, config.order(), loop.now());
    }

    /**
     * Reads from now on; on the loop's thread.
     *
     * @param descriptors the share in use, 0 to 1
     * @param admit is told which calls are to be taken; null: all
     */
    public void start(DoubleSupplier descriptors, Consumer<Admission> admit) {
        this.descriptors = descriptors;
        this.admit = admit;
        cpu = CpuThrottling.open();
        next.levelEntered(loop.now(), levels.level().name());
        dueAt = loop.now();
        read();
    }

    /** Every level, from full service to the least. */
    public List<String> levels() {
        return config.plan().levels.stream().map(DegradationLevel::name).toList();
    }

    /** The last readings, by names that end in their unit; NaN where one is not known. */
    public Map<String, Double> readings() {
        Map<String, Double> named = new LinkedHashMap<>();
        if (readings != null) {
            for (Reading reading : Reading.values()) {
                double value = reading.of(readings);
                named.put(
                        reading.word() + (reading.isShare() ? "_ratio" : "_seconds"),
                        reading.isShare() ? value : value / 1e9);
            }
        }
        return named;
    }

    /** Whether a probe that the module asks for is made. */
    public boolean probes(String endpoint) {
        return probes.passes(endpoint, levels.allowance().probeFactor());
    }

    private void read() {
        long now = loop.now();
        Runtime runtime = Runtime.getRuntime();
        long used = memory.sampled(runtime.totalMemory() - runtime.freeMemory());
        double ageNs = reports == LoadReportSource.NONE ? Double.NaN : reportAge.ns();
        readings =
                new Readings(
                        now,
                        failing.share(now),
                        ageNs,
                        Math.max(0, now - dueAt),
                        descriptors.getAsDouble(),
                        (double) used / runtime.maxMemory(),
                        starved.share(now),
                        cpu.share(now));
        levels.read(readings).ifPresent(this::changed);
        dueAt = loop.now() + EVERY_NS;
        loop.after(EVERY_NS, this::read);
    }

    private void changed(Change change) {
        LOG.atInfo()
                .addKeyValue("from", change.from())
                .addKeyValue("to", change.to())
                .addKeyValue("reading", joined(change, cause -> cause.reading().word()))
                .addKeyValue("value", joined(change, cause -> inUnits(cause, cause.value())))
                .addKeyValue("bound", joined(change, cause -> inUnits(cause, cause.bound())))
                .log(change.toString());
        next.levelEntered(loop.now(), change.to());
        // Without one, the module draws no number for each call.
        admit.accept(levels.level().reach() == DegradationLevel.Reach.NONE ? null : this::takes);
    }

    private static String joined(Change change, Function<Cause, String> part) {
        return change.causes().stream().map(part).collect(Collectors.joining(","));
    }

    private static String inUnits(Cause cause, double value) {
        return Double.toString(cause.reading().isShare() ? value : value / 1e9);
    }

    private boolean takes(String requestClass, boolean overQuota, double random) {
        boolean taken = levels.allowance().takes(requestClass, overQuota, random);
        if (!taken) {
            starved.shed(requestClass);
        }
        return taken;
    }

    // ---- events
    // ------------------------------------------------------------------------------------

    @Override
    public void taken(String requestClass) {
        next.taken(requestClass);
    }

    @Override
    public void answered(String requestClass, RequestResult answer, long afterNs, long waitedNs) {
        starved.answered(requestClass, answer, waitedNs, loop.now());
        next.answered(requestClass, answer, afterNs, waitedNs);
    }

    @Override
    public void gone(String requestClass) {
        next.gone(requestClass);
    }

    @Override
    public void rejected(RejectionReason why) {
        next.rejected(why);
    }

    @Override
    public void attemptBegun(String endpoint) {
        next.attemptBegun(endpoint);
    }

    @Override
    public void attemptSent() {
        next.attemptSent();
    }

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        failing.ended(endpoint, outcome, latencyNs, loop.now());
        told(load, reports == LoadReportSource.ANSWERS && outcome == Outcome.OK);
        next.attemptEnded(endpoint, outcome, latencyNs, load);
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        told(load, reports == LoadReportSource.PROBES);
        next.healthChecked(endpoint, outcome, load);
    }

    @Override
    public void reloaded(boolean taken) {
        next.reloaded(taken);
    }

    @Override
    public void listed(ListKind kind, List<EndpointEntry> entries) {
        failing.listed(kind, entries);
        next.listed(kind, entries);
    }

    @Override
    public void levelEntered(long now, String level) {
        next.levelEntered(now, level);
    }

    private void told(LoadReport load, boolean owed) {
        if (load != null) {
            reportAge.reported(loop.now());
        } else if (owed) {
            reportAge.missed(loop.now());
        }
    }
}
