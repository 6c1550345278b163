package trailthread;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Counts the attempts in flight, at each endpoint and at all together.
 *
 * <p>An attempt whose response is lost would use up part of a concurrency limit, and make its
 * endpoint look unresponsive, until its client gives up. So an attempt that takes too long is
 * presumed lost and no longer counted:
 *
 * <ul>
 *   <li>an attempt that was overtaken, as a later attempt at the endpoint has had its response,
 *       after {@link #OVERTAKEN_LATENCIES} usual latencies (longer than the other limit, because a
 *       long request may be overtaken, too);
 *   <li>any other attempt after {@link #NOT_OVERTAKEN_LATENCIES} usual latencies, doubled for each
 *       attempt presumed lost before it. That frees capacity for one idempotent request, which
 *       tries the endpoint again.
 * </ul>
 */
final class InFlightTracker {
    /** Usual latencies after which an overtaken attempt is presumed lost. */
    private static final double OVERTAKEN_LATENCIES = 5;

    /** Usual latencies after which an attempt that was not overtaken is presumed lost. */
    private static final double NOT_OVERTAKEN_LATENCIES = 2.5;

    private static final int MAX_DOUBLINGS = 5;

    /** The attempts at one endpoint. */
    static final class EndpointAttempts {
        /** In the order of sending, from the oldest attempt that may still count as in flight. */
        private final ArrayDeque<Attempt> sent = new ArrayDeque<>();

        private int count;
        private int presumedLost;
        private long newestAnsweredSentAt;
        private long silentSince;

        /** Attempts in flight. */
        int count() {
            return count;
        }

        /** Attempts presumed lost, and not overtaken, since the last response. */
        int presumedLost() {
            return presumedLost;
        }

        /** Whether an attempt is in flight, or is presumed lost with no response since. */
        boolean isAwaitingResponse() {
            return count + presumedLost > 0;
        }

        /** When the newest attempt that has had a response was sent. */
        long newestAnsweredSentAt() {
            return newestAnsweredSentAt;
        }

        /**
         * Since when the endpoint has been silent: when its last attempt ended, with any outcome,
         * or when the first awaited attempt was sent.
         */
        long silentSince() {
            return silentSince;
        }
    }

    private final ActiveSettings settings;
    private final WorkloadMeans means;

    /** Endpoints with attempts in flight; few, even if thousands are listed. */
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

    /** Adds a new attempt to the request, and counts it as in flight. */
    void addAttempt(Request request, Endpoint endpoint, long now) {
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

    /** Records the end of an attempt, with any outcome. */
    void attemptEnded(Attempt attempt, long now) {
        EndpointAttempts attempts = attempt.endpoint.inFlight;
        boolean wasPresumedLost = !release(attempt);
        if (wasPresumedLost) {
            attempts.presumedLost -= Math.min(1, attempts.presumedLost);
        }
        attempts.silentSince = now;
    }

    /**
     * Records a successful response. It shows that the endpoint responds, so the count of attempts
     * presumed lost starts again from 0.
     */
    void recordResponse(Attempt attempt) {
        EndpointAttempts attempts = attempt.endpoint.inFlight;
        attempts.newestAnsweredSentAt = Math.max(attempts.newestAnsweredSentAt, attempt.sentAt);
        attempts.presumedLost = 0;
    }

    /**
     * Stops counting an attempt as in flight: it has ended, is presumed lost, or streams its
     * request or response, which delays no later request.
     *
     * @return whether it was counted until now
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

    /** Stops counting attempts that are presumed lost. */
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
