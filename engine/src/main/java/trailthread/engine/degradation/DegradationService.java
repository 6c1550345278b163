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
import trailthread.api.Outcome;
import trailthread.api.Settings;
import trailthread.degradation.Change;
import trailthread.degradation.Change.Cause;
import trailthread.degradation.DegradationController;
import trailthread.degradation.DegradationLevel;
import trailthread.degradation.Reading;
import trailthread.degradation.Readings;
import trailthread.engine.loop.EventLoop;
import trailthread.engine.metrics.ForwardingMetricsRecorder;
import trailthread.engine.metrics.MetricsRecorder;
import trailthread.engine.metrics.RequestResult;

/**
 * Runs the node's degradation levels: takes readings four times a second, and sheds requests and
 * thins health checks as the level requires. It observes the node's events as a metrics recorder
 * that forwards them to the next one. A node without levels does not create the service, and so
 * loads no class of this package.
 */
public final class DegradationService extends ForwardingMetricsRecorder {
    private static final Logger LOG = LoggerFactory.getLogger(DegradationService.class);
    private static final long READING_PERIOD_NS = 250_000_000L;
    private static final double NS_PER_SECOND = 1e9;

    private final EventLoop loop;
    private final DegradationConfig config;
    private final DegradationController levels;
    private final ReadingsCollector collector;
    private final HealthCheckThinning healthChecks = new HealthCheckThinning();
    private Consumer<Admission> admissionSetter;

    /** The latest readings; null before the first. */
    private Readings readings;

    /** When the next readings are due; how late they are taken is itself a reading. */
    private long dueAt;

    /**
     * Creates a service at the level of full service; it takes readings from {@link #start} on.
     *
     * @param next the recorder to which events are forwarded, and which records the levels
     */
    public DegradationService(
            EventLoop loop, DegradationConfig config, Settings settings, MetricsRecorder next) {
        super(next);
        this.loop = loop;
        this.config = config;
        levels = new DegradationController(config.plan(), config.order());
        collector = new ReadingsCollector(settings, config.order(), loop.now());
    }

    /**
     * Starts to take readings; must be called on the loop's thread.
     *
     * @param descriptors the fraction of file descriptors in use, 0 to 1
     * @param admissionSetter receives the admission filter of each new level; null: all requests
     *     are admitted
     */
    public void start(DoubleSupplier descriptors, Consumer<Admission> admissionSetter) {
        this.admissionSetter = admissionSetter;
        collector.start(descriptors);
        degradationLevelEntered(loop.now(), levels.level().name());
        dueAt = loop.now();
        takeReadings();
    }

    /** Returns the names of all levels, from full service to the most degraded. */
    public List<String> levels() {
        return config.plan().levels.stream().map(DegradationLevel::name).toList();
    }

    /** Returns the latest readings, by names that end in their unit; NaN: unknown. */
    public Map<String, Double> readings() {
        Map<String, Double> named = new LinkedHashMap<>();
        if (readings != null) {
            for (Reading reading : Reading.values()) {
                named.put(
                        reading.key() + (reading.isShare() ? "_ratio" : "_seconds"),
                        inOutputUnit(reading, reading.valueIn(readings)));
            }
        }
        return named;
    }

    /**
     * Returns whether a health check that the balancer requests may be made at the current level.
     */
    public boolean permitsHealthCheck(String endpoint) {
        return healthChecks.permits(endpoint, levels.sheddingPolicy().probeFactor());
    }

    private void takeReadings() {
        long now = loop.now();
        readings = collector.collect(now, Math.max(0, now - dueAt));
        levels.update(readings).ifPresent(this::levelChanged);
        dueAt = loop.now() + READING_PERIOD_NS;
        loop.schedule(READING_PERIOD_NS, this::takeReadings);
    }

    private void levelChanged(Change change) {
        LOG.atInfo()
                .addKeyValue("from", change.from())
                .addKeyValue("to", change.to())
                .addKeyValue("reading", joinCauses(change, cause -> cause.reading().key()))
                .addKeyValue("value", joinCauses(change, cause -> valueText(cause, cause.value())))
                .addKeyValue("bound", joinCauses(change, cause -> valueText(cause, cause.bound())))
                .log(change.toString());
        degradationLevelEntered(loop.now(), change.to());
        // Null rather than a filter that admits all: prevents the balancer from drawing a random
        // number for each request.
        boolean admitsAll = levels.level().reach() == DegradationLevel.Reach.NONE;
        admissionSetter.accept(admitsAll ? null : this::admits);
    }

    private static String joinCauses(Change change, Function<Cause, String> part) {
        return change.causes().stream().map(part).collect(Collectors.joining(","));
    }

    private static String valueText(Cause cause, double value) {
        return Double.toString(inOutputUnit(cause.reading(), value));
    }

    /** Returns fractions unchanged, and durations in seconds. */
    private static double inOutputUnit(Reading reading, double value) {
        return reading.isShare() ? value : value / NS_PER_SECOND;
    }

    private boolean admits(String requestClass, boolean overQuota, double random) {
        boolean admitted = levels.sheddingPolicy().admits(requestClass, overQuota, random);
        if (!admitted) {
            collector.requestShed(requestClass);
        }
        return admitted;
    }

    @Override
    public void requestAnswered(
            String requestClass, RequestResult result, long latencyNs, long queuedNs) {
        collector.requestAnswered(requestClass, result, queuedNs, loop.now());
        super.requestAnswered(requestClass, result, latencyNs, queuedNs);
    }

    @Override
    public void attemptEnded(String endpoint, Outcome outcome, long latencyNs, LoadReport load) {
        collector.attemptEnded(endpoint, outcome, latencyNs, load, loop.now());
        super.attemptEnded(endpoint, outcome, latencyNs, load);
    }

    @Override
    public void healthChecked(String endpoint, Outcome outcome, LoadReport load) {
        collector.healthChecked(load, loop.now());
        super.healthChecked(endpoint, outcome, load);
    }

    @Override
    public void endpointListUpdated(ListKind kind, List<EndpointEntry> entries) {
        collector.endpointListUpdated(kind, entries);
        super.endpointListUpdated(kind, entries);
    }
}
