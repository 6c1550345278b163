package trailthread;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Attempts in flight, in all and by endpoint.
 *
 * <p>Responses that are lost would fill concurrency limits, and make their endpoints look frozen,
 * until their clients give up. So an attempt that has been out for long counts no more:
 *
 * <ul>
 *   <li>one that a later attempt has overtaken, after {@link #OVERTAKEN_LATENCIES} usual latencies
 *       (a long request may be overtaken, too, so it has more time);
 *   <li>one that none has overtaken, after {@link #NOT_OVERTAKEN_LATENCIES} usual latencies,
 *       doubled for each such attempt before it: its capacity is free then for an idempotent trial.
 * </ul>
 */
final class InFlightTracker {
    /** Usual latencies after which an overtaken attempt counts as lost. */
    private static final double OVERTAKEN_LATENCIES = 5;

    /** Usual latencies after which an attempt that none has overtaken counts as lost. */
    private static final double NOT_OVERTAKEN_LATENCIES = 2.5;

    private static final int MAX_DOUBLINGS = 5;

    /** The attempts at one endpoint. */
    static final class EndpointAttempts {
        /** From the oldest that counts as in flight on. */
        private final ArrayDeque<Attempt> sent = new ArrayDeque<>();

        private int count;
        private int presumedLost;
        private long newestAnsweredSentAt;
        private long silentSince;

        /** Attempts in flight. */
        int count() {
            return count;
        }

        /** Attempts that seem lost, with no response to a later one. */
        int presumedLost() {
            return presumedLost;
        }

        /** Whether a response is awaited, or seems lost. */
        boolean isAwaitingResponse() {
            return count + presumedLost > 0;
        }

        /** When the newest attempt that was answered had been sent. */
        long newestAnsweredSentAt() {
            return newestAnsweredSentAt;
        }

        /** When it last ended an attempt in any way, or got one while it had none. */
        long silentSince() {
            return silentSince;
        }
    }

    private final ActiveSettings settings;
    private final WorkloadMeans means;

    /** Endpoints with attempts in flight: of thousands, few. */
    private final Set<Endpoint> awaitedEndpoints = new LinkedHashSet<>();

    private int total;

    InFlightTracker(ActiveSettings settings, WorkloadMeans means) {
        this.settings = settings;
        this.means = means;
    }

    /** Attempts in flight at all endpoints. */
    int total() {
        return total;
    }

    /** Begins an attempt. */
    void begin(Request request, Endpoint endpoint, long now) {
        EndpointAttempts attempts = endpoint.inFlight;
        if (!attempts.isAwaitingResponse()) {
            attempts.silentSince = now;
        }
        Attempt attempt = new Attempt(endpoint, now, attempts.count);
        request.addAttempt(attempt);
        attempts.sent.add(attempt);
        awaitedEndpoints.add(endpoint);
        attempts.count++;
        total++;
        endpoint.load.attemptSent();
    }

    /** An attempt has ended in some way. */
    void end(Attempt attempt, long now) {
        EndpointAttempts attempts = attempt.endpoint.inFlight;
        boolean wasPresumedLost = !release(attempt);
        if (wasPresumedLost) {
            attempts.presumedLost -= Math.min(1, attempts.presumedLost);
        }
        attempts.silentSince = now;
    }

    /** An attempt was answered with success: those sent later and not answered are not lost. */
    void recordResponse(Attempt attempt) {
        EndpointAttempts attempts = attempt.endpoint.inFlight;
        attempts.newestAnsweredSentAt = Math.max(attempts.newestAnsweredSentAt, attempt.sentAt);
        attempts.presumedLost = 0;
    }

    /**
     * Stops counting an attempt as in flight: it has ended, seems lost, or streams, which holds up
     * no request that comes after it.
     *
     * @return whether it had counted until now
     */
    boolean release(Attempt attempt) {
        if (!attempt.countedInFlight) {
            return false;
        }
        attempt.countedInFlight = false;
        attempt.endpoint.inFlight.count--;
        attempt.endpoint.load.attemptEnded();
        total--;
        return true;
    }

    /** Stops counting attempts that seem lost. */
    void releaseLost(long now) {
        awaitedEndpoints.forEach(endpoint -> releaseLost(endpoint, now));
        awaitedEndpoints.removeIf(endpoint -> endpoint.inFlight.sent.isEmpty());
    }

    private void releaseLost(Endpoint endpoint, long now) {
        EndpointAttempts attempts = endpoint.inFlight;
        for (Attempt oldest = attempts.sent.peek(); oldest != null; oldest = attempts.sent.peek()) {
            if (oldest.outcome == null) {
                boolean overtaken = oldest.sentAt < attempts.newestAnsweredSentAt;
                if (!isPresumedLost(oldest, overtaken, now)) {
                    return;
                }
                boolean wasCounted = release(oldest);
                if (wasCounted && !overtaken) {
                    attempts.presumedLost++;
                }
            }
            attempts.sent.remove();
        }
    }

    private boolean isPresumedLost(Attempt attempt, boolean overtaken, long now) {
        double knownNs = Math.max(attempt.endpoint.latency.latencyNs(), means.latencyNs());
        if (knownNs == 0) {
            return false;
        }
        double usualNs = Math.max(knownNs, settings.latencyResolutionNs());
        int presumedLost = attempt.endpoint.inFlight.presumedLost;
        int doublings = overtaken ? 0 : Math.min(presumedLost, MAX_DOUBLINGS);
        double latencies = overtaken ? OVERTAKEN_LATENCIES : NOT_OVERTAKEN_LATENCIES;
        return now - attempt.sentAt >= latencies * usualNs * (1 << doublings);
    }
}
