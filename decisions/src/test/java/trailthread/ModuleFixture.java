package trailthread;

import java.util.ArrayList;
import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Settings;

/**
 * The modules of a balancer without their coordinator, for tests of one module at a time. The
 * settings are those of {@link ScriptedBalancer#settings}: every class has an objective of 200 ms
 * and a deadline of 1 s.
 */
final class ModuleFixture {
    static final long MS = ScriptedBalancer.MS;
    static final long SECOND = 1000 * MS;
    static final long NOW = 1_000_000_000_000L;

    final Settings settings = ScriptedBalancer.settings();
    final ActiveSettings active = new ActiveSettings(settings);

    /** Records the actions; its own balancer is not used. */
    final ScriptedBalancer recorder = new ScriptedBalancer(settings, 1);

    final RandomSource random;
    final WorkloadMeans means = new WorkloadMeans(active.tightestObjectiveNs());
    final EndpointSubset subset = new EndpointSubset();
    final RateLimitedLog log = new RateLimitedLog(recorder, active, NOW);
    final LoadEstimator estimator = new LoadEstimator(active, means);
    final InFlightTracker inFlight = new InFlightTracker(active, means);
    final SlowStart slowStart;
    final OutlierDetector outliers;
    final ConcurrencyLimiter limiter;

    ModuleFixture() {
        this(1);
    }

    ModuleFixture(long seed) {
        settings.zone = "here";
        random = new RandomSource(seed);
        slowStart = new SlowStart(active, means, subset, random, NOW);
        outliers = new OutlierDetector(active, estimator, subset, random, log);
        limiter =
                new ConcurrencyLimiter(
                        active, means, estimator, inFlight, slowStart, outliers, subset, random);
    }

    /** An endpoint that started long ago. */
    static Endpoint endpoint(String name) {
        return startedAt(name, 0);
    }

    static Endpoint startedAt(String name, long startedAtNs) {
        Endpoint endpoint = new Endpoint(name);
        endpoint.update(entry(name, EndpointState.READY, startedAtNs));
        return endpoint;
    }

    static EndpointEntry entry(String name, EndpointState state, long startedAtNs) {
        return new EndpointEntry(name, 1, state, "here", startedAtNs, 0);
    }

    /** Makes new endpoints the subset, each shared by {@code sharingNodes} nodes. */
    List<Endpoint> useSubset(double sharingNodes, String... names) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String name : names) {
            endpoints.add(endpoint(name));
        }
        subset.replace(endpoints, sharingNodes);
        return endpoints;
    }

    /** A request of the class with this index in the settings. */
    Request request(int requestClass) {
        RequestClassStats stats =
                new RequestClassStats(settings.classes.get(requestClass), SECOND, NOW);
        return new Request(1, stats, null, 0, 0, NOW, NOW + SECOND, 100);
    }

    /** Begins an attempt of a new idempotent request. */
    Attempt begin(Endpoint endpoint, long now) {
        Request request = request(0);
        inFlight.addAttempt(request, endpoint, now);
        return request.lastAttempt();
    }

    /** Records responses of this latency to attempts that were sent with none in flight. */
    void recordResponses(Endpoint endpoint, int responses, double latencyNs, long now) {
        for (int i = 0; i < responses; i++) {
            estimator.record(new Attempt(endpoint, now, 0), latencyNs, now);
        }
    }

    void recordFailures(Endpoint endpoint, int times, long now) {
        for (int i = 0; i < times; i++) {
            outliers.recordFailure(endpoint);
            outliers.ejectIfFailing(endpoint, now);
        }
    }

    /** The delay of the timer that was set last. */
    long lastDelayNs() {
        return recorder.timers.get(recorder.timers.size() - 1).at() - recorder.now;
    }

    /** The id in the token of the timer that was set last. */
    long lastTimerId() {
        return TimerKind.id(recorder.timers.get(recorder.timers.size() - 1).token());
    }
}
