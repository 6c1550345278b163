package trailthread;

import java.util.List;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * The modules that most other modules depend on, wired as in {@link Balancer}; actions are
 * recorded.
 */
final class WiredModules {
    static final long MS = ScriptedBalancer.MS;

    /** When the modules are created, by the clock of the events. */
    static final long NOW = 1_000_000_000_000L;

    final ScriptedBalancer actions;
    final ActiveSettings settings;
    final RandomSource random = new RandomSource(1);
    final EndpointSubset subset = new EndpointSubset();
    final RetryBudget budget = new RetryBudget();
    final WorkloadMeans means;
    final LoadEstimator estimator;
    final InFlightTracker inFlight;
    final SlowStart slowStart;
    final OutlierDetector outliers;
    final ConcurrencyLimiter limiter;
    final RetryPolicy retries;
    final AdmissionController admissions;
    final EndpointPicker picker;
    private int nextId = 1;

    WiredModules() {
        this(ScriptedBalancer.settings());
    }

    WiredModules(Settings initial) {
        actions = new ScriptedBalancer(initial, 1);
        settings = new ActiveSettings(initial);
        means = new WorkloadMeans(settings.tightestObjectiveNs());
        estimator = new LoadEstimator(settings, means);
        inFlight = new InFlightTracker(settings, means);
        slowStart = new SlowStart(settings, means, subset, random, NOW);
        RateLimitedLog log = new RateLimitedLog(actions, settings, NOW);
        outliers = new OutlierDetector(settings, estimator, subset, random, log);
        limiter =
                new ConcurrencyLimiter(
                        settings, means, estimator, inFlight, slowStart, outliers, subset, random);
        retries = new RetryPolicy(settings, means, budget);
        admissions = new AdmissionController(settings, means, random);
        KeyAffinity affinity = new KeyAffinity(settings, random);
        Lottery lottery = new Lottery(settings, estimator, limiter, slowStart, random);
        picker =
                new EndpointPicker(
                        settings, means, subset, estimator, slowStart, outliers, limiter, affinity,
                        lottery);
    }

    /** An endpoint that started long ago. */
    static Endpoint endpoint(String name, int cell) {
        return endpoint(new EndpointEntry(name, 1, EndpointState.READY, "here", 0, cell));
    }

    static Endpoint endpoint(EndpointEntry entry) {
        Endpoint endpoint = new Endpoint(entry.endpoint());
        endpoint.update(entry);
        return endpoint;
    }

    /** Makes these endpoints the subset, each shared by {@code sharingNodes} nodes. */
    void useSubset(double sharingNodes, Endpoint... endpoints) {
        subset.replace(List.of(endpoints), sharingNodes);
        limiter.setInitialLimits();
        limiter.updateTotal(NOW);
    }

    /** A request that arrives at {@link #NOW}, of a class of the settings. */
    Request request(String requestClass) {
        return request(requestClass, 0, NOW + 1000 * MS);
    }

    Request request(String requestClass, long workNs, long deadline) {
        RequestClass rules =
                settings.get().classes.stream()
                        .filter(c -> c.name().equals(requestClass))
                        .findFirst()
                        .orElseThrow();
        return request(new RequestClassStats(rules, 1000 * MS, NOW), null, workNs, deadline);
    }

    Request request(RequestClassStats stats, TenantStats tenant, long workNs, long deadline) {
        int maxAttempts = settings.get().maxAttempts;
        return new Request(nextId++, stats, tenant, 0, workNs, NOW, deadline, maxAttempts);
    }

    /** Sends an attempt, and ends it with an outcome unless that is null. */
    Attempt attempt(Request request, Endpoint endpoint, Outcome outcome, long now) {
        inFlight.addAttempt(request, endpoint, now);
        Attempt attempt = request.lastAttempt();
        if (outcome != null) {
            request.endAttempt(attempt, outcome);
            inFlight.attemptEnded(attempt, now);
        }
        return attempt;
    }
}
