package trailthread;

import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** One client request with its attempts. Times are by the clock of the events, in nanoseconds. */
final class Request {
    final long id;

    /** The key of the data that the request concerns, see {@link KeyAffinity}; 0: none. */
    final long key;

    /** The expected work, in nanoseconds on a standard core; 0: not known. */
    final long workNs;

    final long arrivedAt;
    final long deadline;

    /** Until when a response earns the full priority weight. */
    final long objectiveAt;

    final RequestClassStats requestClass;

    /** The tenant, or null. */
    final TenantStats tenant;

    private final Attempt[] attempts;
    private int attemptsSent;
    private int inFlight;

    /** The priority weight; set by {@link PriorityPolicy}. */
    double weight;

    /**
     * Whether the request arrived after its tenant had used up this node's part of the tenant's
     * quota.
     */
    boolean overQuota;

    /**
     * Until when the attempt in flight may last beyond the deadline, as its response has begun; 0:
     * not beyond it.
     */
    long responseHeldUntil;

    /** Whether its response has begun to stream to the client. */
    boolean streaming;

    /** Whether the request has had its final answer, or its client has disconnected. */
    boolean finished;

    Request(
            long id,
            RequestClassStats requestClass,
            TenantStats tenant,
            long key,
            long workNs,
            long now,
            long deadline,
            int maxAttempts) {
        this.id = id;
        this.key = key;
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.workNs = workNs;
        this.arrivedAt = now;
        this.deadline = deadline;
        RequestClass rules = requestClass.rules;
        // In floating point, as the sum may exceed the range of long.
        double objectiveNs = rules.latencyObjectiveNs() + rules.objectiveWorkMultiple() * workNs;
        objectiveAt = objectiveNs < deadline - now ? now + (long) objectiveNs : deadline;
        attempts = new Attempt[maxAttempts];
    }

    Idempotency idempotency() {
        return requestClass.rules.idempotency();
    }

    boolean isIdempotent() {
        return idempotency() == Idempotency.IDEMPOTENT;
    }

    /**
     * The most attempts that the request may have, by both the current settings and those in force
     * when it arrived.
     */
    int maxAttempts(Settings settings) {
        return Math.min(settings.maxAttempts, attempts.length);
    }

    /** Attempts sent so far. */
    int attemptsSent() {
        return attemptsSent;
    }

    /** Attempts that have no outcome yet. */
    int inFlight() {
        return inFlight;
    }

    void addAttempt(Attempt attempt) {
        attempts[attemptsSent] = attempt;
        attemptsSent++;
        inFlight++;
    }

    /** The attempt of this number if it is in flight, else null. */
    Attempt inFlightAttempt(int number) {
        Attempt found = attempt(number);
        return found == null || found.outcome != null ? null : found;
    }

    /** The attempt of this number, or null. */
    Attempt attempt(int number) {
        return number >= 0 && number < attemptsSent ? attempts[number] : null;
    }

    /** The attempt sent last, or null. */
    Attempt lastAttempt() {
        return attempt(attemptsSent - 1);
    }

    void endAttempt(Attempt attempt, Outcome outcome) {
        attempt.outcome = outcome;
        inFlight--;
    }

    /** The first attempt that may have run, or may still run; null if there is none. */
    Attempt firstAttemptThatMayHaveRun() {
        for (int i = 0; i < attemptsSent; i++) {
            if (attempts[i].mayHaveRun()) {
                return attempts[i];
            }
        }
        return null;
    }

    /**
     * Until when one more attempt may be written: without end if no earlier attempt may have run or
     * the request is idempotent; else to the end of the deduplication window, which without an
     * idempotency key has no length.
     */
    long retryableUntil() {
        Attempt first = firstAttemptThatMayHaveRun();
        if (first == null || isIdempotent()) {
            return Long.MAX_VALUE;
        }
        boolean hasKey = idempotency() == Idempotency.IDEMPOTENCY_KEY;
        return first.sentAt + (hasKey ? requestClass.rules.deduplicationWindowNs() : 0);
    }

    /**
     * Whether one more attempt at the endpoint does no harm: the endpoint shares the deduplication
     * window of the first attempt that may have run, or the request needs no deduplication there.
     */
    boolean isDeduplicatedAt(Endpoint endpoint) {
        if (attemptsSent == 0 || idempotency() != Idempotency.IDEMPOTENCY_KEY) {
            return true;
        }
        Attempt first = firstAttemptThatMayHaveRun();
        return first == null || sharesWindow(first.endpoint, endpoint);
    }

    private boolean sharesWindow(Endpoint first, Endpoint other) {
        DeduplicationScope scope = requestClass.rules.deduplicationScope();
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone().equals(other.zone()) && !mayHaveRestarted(other);
            case CELL -> isInSameCell(first, other) && !mayHaveRestarted(other);
        };
    }

    private static boolean isInSameCell(Endpoint first, Endpoint other) {
        return first == other || (first.cell() >= 0 && first.cell() == other.cell());
    }

    /**
     * Whether the connection of an attempt at the endpoint broke. Its process may have ended, and
     * another one, in another zone or cell, may have its address before the list tells.
     */
    private boolean mayHaveRestarted(Endpoint endpoint) {
        for (int i = 0; i < attemptsSent; i++) {
            if (attempts[i].endpoint == endpoint && attempts[i].outcome == Outcome.RESET) {
                return true;
            }
        }
        return false;
    }

    boolean wasSentTo(Endpoint endpoint) {
        for (int i = 0; i < attemptsSent; i++) {
            if (attempts[i].endpoint == endpoint) {
                return true;
            }
        }
        return false;
    }
}
