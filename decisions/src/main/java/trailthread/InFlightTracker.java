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
 *   <li>one that none has overtaken, after {@link #SILENT_LATENCIES} usual latencies, doubled for
 *       each such attempt before it: its capacity is free then for an idempotent trial.
 * </ul>
 */
final class InFlightTracker {
    /** Usual latencies after which an overtaken attempt counts as lost. */
    private static final double OVERTAKEN_LATENCIES = 5;

    /** Usual latencies after which an attempt that none has overtaken counts as lost. */
    private static final double SILENT_LATENCIES = 2.5;

    private static final int MOST_DOUBLINGS = 5;

    /** The attempts at one endpoint. */
    static final class AtEndpoint {
        /** From the oldest that counts as in flight on. */
        private final ArrayDeque<Attempt> sent = new ArrayDeque<>();

        private int count;
        private int unanswered;
        private long newestAnsweredSentAt;
        private long lastSignAt;

        /** Attempts in flight. */
        int count() {
            return count;
        }

        /** Attempts that seem lost, with no response to a later one. */
        int unanswered() {
            return unanswered;
        }

        /** Whether a response is awaited, or seems lost. */
        boolean isAwaited() {
            return count + unanswered > 0;
        }

        /** When the newest attempt that was answered had been sent. */
        long newestAnsweredSentAt() {
            return newestAnsweredSentAt;
        }

        /** When it last ended an attempt in any way, or got one while it had none. */
        long lastSignAt() {
            return lastSignAt;
        }
    }

    private final ActiveSettings settings;
    private final WorkloadMeans means;

    /** Endpoints with attempts in flight: of thousands, few. */
    private final Set<Endpoint> awaited = new LinkedHashSet<>();

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
        AtEndpoint at = endpoint.inFlight;
        if (!at.isAwaited()) {
            at.lastSignAt = now;
        }
        Attempt attempt = new Attempt(endpoint, now, at.count);
        request.add(attempt);
        at.sent.add(attempt);
        awaited.add(endpoint);
        at.count++;
        total++;
        endpoint.load.attemptSent();
    }

    /** An attempt has ended in some way. */
    void end(Attempt attempt, long now) {
        AtEndpoint at = attempt.endpoint.inFlight;
        boolean seemedLost = !release(attempt);
        if (seemedLost) {
            at.unanswered -= Math.min(1, at.unanswered);
        }
        at.lastSignAt = now;
    }

    /** An attempt was answered with success: those sent later and not answered are not lost. */
    void answered(Attempt attempt) {
        AtEndpoint at = attempt.endpoint.inFlight;
        at.newestAnsweredSentAt = Math.max(at.newestAnsweredSentAt, attempt.sentAt);
        at.unanswered = 0;
    }

    /**
     * Stops counting an attempt as in flight: it has ended, seems lost, or streams, which holds up
     * no request that comes after it.
     *
     * @return whether it had counted until now
     */
    boolean release(Attempt attempt) {
        if (!attempt.counted) {
            return false;
        }
        attempt.counted = false;
        attempt.endpoint.inFlight.count--;
        attempt.endpoint.load.attemptEnded();
        total--;
        return true;
    }

    /** Stops counting attempts that seem lost. */
    void releaseLost(long now) {
        awaited.forEach(endpoint -> releaseLost(endpoint, now));
        awaited.removeIf(endpoint -> endpoint.inFlight.sent.isEmpty());
    }

    private void releaseLost(Endpoint endpoint, long now) {
        AtEndpoint at = endpoint.inFlight;
        for (Attempt oldest = at.sent.peek(); oldest != null; oldest = at.sent.peek()) {
            if (oldest.outcome == null) {
                boolean overtaken = oldest.sentAt < at.newestAnsweredSentAt;
                if (!seemsLost(oldest, overtaken, now)) {
                    return;
                }
                boolean counted = release(oldest);
                if (counted && !overtaken) {
                    at.unanswered++;
                }
            }
            at.sent.remove();
        }
    }

    private boolean seemsLost(Attempt attempt, boolean overtaken, long now) {
        double knownNs = Math.max(attempt.endpoint.latency.latencyNs(), means.latencyNs());
        if (knownNs == 0) {
            return false;
        }
        double usualNs = Math.max(knownNs, settings.latencyResolutionNs());
        int unanswered = attempt.endpoint.inFlight.unanswered;
        int doublings = overtaken ? 0 : Math.min(unanswered, MOST_DOUBLINGS);
        double latencies = overtaken ? OVERTAKEN_LATENCIES : SILENT_LATENCIES;
        return now - attempt.sentAt >= latencies * usualNs * (1 << doublings);
    }
}
