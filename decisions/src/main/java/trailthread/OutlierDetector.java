package trailthread;

import java.util.List;

/**
 * Ejects endpoints that fail several times in a row, and endpoints that are congested.
 *
 * <p>Failures: as in Envoy's consecutive-failure outlier detection, {@link #FAILURES_TO_EJECT}
 * failures in a row eject an endpoint for the tightest latency objective, doubled for each further
 * failure. After that time the endpoint is half-open and gets one idempotent attempt at a time
 * (Nygard's circuit breaker).
 *
 * <p>Congestion: a server that was overloaded may stay slow until it has been nearly idle for a
 * while. So an endpoint that is more than {@link #CONGESTED_LATENCIES} times as slow as when idle
 * is ejected for {@link #CONGESTED_DEADLINES} longest deadlines, doubled each time that it is still
 * slow when it is tried again. Log lines call such an endpoint jammed and resting.
 *
 * <p>A node that is itself cut off from the network sees all endpoints fail. So ejection is
 * suspended while more than {@link #MAX_EJECTED_SHARE} of the ready endpoints would be ejected.
 */
final class OutlierDetector {
    /** Failures in a row that eject an endpoint; three are rarely a coincidence. */
    private static final int FAILURES_TO_EJECT = 3;

    /** Longest ejection, in doublings of the tightest latency objective. */
    private static final int MAX_EJECTION_DOUBLINGS = 5;

    /** The largest share of ready endpoints that may be ejected. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /**
     * The lowest success rate; with it, the lottery still tries the endpoint at one draw in a
     * hundred. If the rate came close to 0, no attempt could raise it again.
     */
    private static final double MIN_SUCCESS_RATE = 0.1;

    /** An endpoint is congested if its latency is more than this multiple of its idle latency. */
    static final double CONGESTED_LATENCIES = 2.5;

    /**
     * The first ejection for congestion, in longest deadlines; by its end, all requests that the
     * endpoint held are over.
     */
    private static final double CONGESTED_DEADLINES = 1.5;

    private static final int MAX_CONGESTED_DOUBLINGS = 2;

    /** The failures and congestion of one endpoint. */
    static final class Health {
        private int failures;
        private int congestedEjections;
        private long ejectedUntil;
        private double successRate = 1;

        /** Share of recent attempts that did not fail, 0 to 1. */
        double successRate() {
            return successRate;
        }

        /**
         * Whether the endpoint was ejected and has not recovered since: it is still ejected, or
         * half-open.
         */
        boolean isSuspect() {
            return failures >= FAILURES_TO_EJECT || congestedEjections > 0;
        }

        /** Whether the endpoint has failed often enough in a row to be ejected. */
        boolean isFailing() {
            return failures >= FAILURES_TO_EJECT;
        }

        /** Whether the endpoint was ejected for congestion and has not recovered since. */
        boolean isSuspectForCongestion() {
            return congestedEjections > 0;
        }

        /** Failures in a row. */
        int failures() {
            return failures;
        }
    }

    private final ActiveSettings settings;
    private final LoadEstimator estimator;
    private final EndpointSubset subset;
    private final RandomSource random;
    private final RateLimitedLog log;

    OutlierDetector(
            ActiveSettings settings,
            LoadEstimator estimator,
            EndpointSubset subset,
            RandomSource random,
            RateLimitedLog log) {
        this.settings = settings;
        this.estimator = estimator;
        this.subset = subset;
        this.random = random;
        this.log = log;
    }

    void recordSuccess(Endpoint endpoint) {
        Health health = endpoint.health;
        health.failures = 0;
        health.successRate += LatencyStats.LATENCY_WEIGHT * (1 - health.successRate);
    }

    void recordFailure(Endpoint endpoint) {
        Health health = endpoint.health;
        double lowered = (1 - LatencyStats.LATENCY_WEIGHT) * health.successRate;
        health.successRate = Math.max(MIN_SUCCESS_RATE, lowered);
        health.failures++;
    }

    /** Ejects the endpoint if it has failed often enough in a row. */
    void ejectIfFailing(Endpoint endpoint, long now) {
        Health health = endpoint.health;
        if (!health.isFailing()) {
            return;
        }
        int doublings = Math.min(health.failures - FAILURES_TO_EJECT, MAX_EJECTION_DOUBLINGS);
        double ejectedNs = (double) settings.tightestObjectiveNs() * (1 << doublings);
        health.ejectedUntil = now + random.jittered(ejectedNs);
        if (log.tryAcquire(RateLimitedLog.Kind.EJECTED, now)) {
            log.write("ejected " + endpoint.name + " after failures in a row: " + health.failures);
        }
    }

    /**
     * Ejects the endpoint if it is congested; else clears its record of such ejections.
     *
     * @return whether it was ejected now
     */
    boolean ejectIfCongested(Endpoint endpoint, long now) {
        Health health = endpoint.health;
        double idleNs = endpoint.latency.idleNs();
        if (idleNs == 0 || !isCongested(endpoint, idleNs, now)) {
            health.congestedEjections = 0;
            return false;
        }
        boolean mayEject = health.congestedEjections > 0 || !isEjectionSuspendedWith(1);
        if (now < health.ejectedUntil || !mayEject) {
            return false;
        }
        int doublings = Math.min(health.congestedEjections, MAX_CONGESTED_DOUBLINGS);
        double ejectedNs = CONGESTED_DEADLINES * settings.longestDeadlineNs() * (1 << doublings);
        health.ejectedUntil = now + random.jittered(ejectedNs);
        health.congestedEjections++;
        if (log.tryAcquire(RateLimitedLog.Kind.CONGESTED, now)) {
            long idleLatencies = Math.round(estimator.latencyNs(endpoint, now) / idleNs);
            log.write(
                    "resting "
                            + endpoint.name
                            + ": jammed, idle latencies per answer "
                            + idleLatencies);
        }
        return true;
    }

    private boolean isCongested(Endpoint endpoint, double idleNs, long now) {
        double usualNs = Math.max(idleNs, settings.latencyResolutionNs());
        return estimator.latencyNs(endpoint, now) > CONGESTED_LATENCIES * usualNs;
    }

    /**
     * Whether the endpoint may be sent this request. An ejected endpoint gets no requests. A
     * half-open endpoint, or one with an attempt presumed lost, gets only idempotent requests.
     */
    boolean permits(Endpoint endpoint, Request request, long now) {
        Health health = endpoint.health;
        if (!health.isSuspect()) {
            return endpoint.inFlight.presumedLost() == 0 || request.isIdempotent();
        }
        return now >= health.ejectedUntil
                && endpoint.inFlight.count() == 0
                && request.isIdempotent();
    }

    /**
     * Whether so many of this node's endpoints are suspect that ejected ones may be sent to as
     * well.
     */
    boolean isEjectionSuspended() {
        return isEjectionSuspendedWith(0);
    }

    /** Like {@link #isEjectionSuspended}, and logs a suspension. */
    boolean logIfEjectionSuspended(long now) {
        boolean suspended = isEjectionSuspended();
        if (suspended && log.tryAcquire(RateLimitedLog.Kind.EJECTION_SUSPENDED, now)) {
            int all = subset.size();
            log.write("ejecting none: most of " + all + " backends fail; is this node cut off?");
        }
        return suspended;
    }

    private boolean isEjectionSuspendedWith(int additional) {
        List<Endpoint> endpoints = subset.endpoints();
        int ejected = additional;
        int ready = 0;
        for (int i = 0; i < endpoints.size(); i++) {
            Endpoint endpoint = endpoints.get(i);
            if (endpoint.isReady()) {
                ready++;
                ejected += endpoint.health.isSuspect() ? 1 : 0;
            }
        }
        return ejected > MAX_EJECTED_SHARE * ready;
    }

    /** How many of these endpoints get no requests at present because they drain or are ejected. */
    int countAvoided(List<Endpoint> endpoints, long now) {
        boolean suspended = isEjectionSuspended();
        int avoided = 0;
        for (Endpoint endpoint : endpoints) {
            Health health = endpoint.health;
            boolean ejected = !suspended && now < health.ejectedUntil && health.isSuspect();
            avoided += !endpoint.isReady() || ejected ? 1 : 0;
        }
        return avoided;
    }
}
