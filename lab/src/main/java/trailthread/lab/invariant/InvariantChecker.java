package trailthread.lab.invariant;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import trailthread.api.Idempotency;
import trailthread.api.Outcome;

/**
 * Checks the {@link Invariant}s of a run, virtual or real, from the outside. It receives events in
 * order and trusts no node: an attempt that a server has received whole and not rejected counts as
 * one that may have run, whatever outcome its node reports.
 */
public final class InvariantChecker {
    /** The number of violations kept with their histories; later ones are only counted. */
    private static final int MAX_KEPT_VIOLATIONS = 20;

    /** The most requests remembered after their clients have disconnected. */
    private static final int MAX_ABANDONED = 10_000;

    /** Where an attempt runs, as far as deduplication is concerned. */
    public record ServerLocation(String server, String zone, int cell) {}

    private static final class TrackedRequest {
        final RequestTerms terms;
        final List<HistoryEntry> history = new ArrayList<>(6);

        /** The location of the first attempt that a server did not reject, and when it was sent. */
        ServerLocation firstExecutionLocation;

        long firstExecutionSentAt;
        int attemptsInFlight;
        boolean responded;
        boolean noResponseExpected;

        /** All attempts by number. */
        final Map<Integer, SentAttempt> sentAttempts = new HashMap<>(2);

        TrackedRequest(RequestTerms terms) {
            this.terms = terms;
        }
    }

    private record SentAttempt(ServerLocation location, long at) {}

    private final long responseSlackNs;
    private final long drainGraceNs;
    private final Map<String, TrackedRequest> openRequests = new HashMap<>();

    /**
     * Requests whose clients have disconnected. Their nodes may still send them, and the rules on
     * repeats still hold.
     */
    private final Map<String, TrackedRequest> abandoned = new LinkedHashMap<>();

    /** When a node learned that a server drains or is gone; the key is the node and the server. */
    private final Map<String, Long> drainNotifiedAt = new HashMap<>();

    private final Map<Invariant, Integer> violationCounts = new EnumMap<>(Invariant.class);
    private final List<Violation> violations = new ArrayList<>();
    private long checkedRequests;

    /**
     * @param responseSlackNs how long after its deadline a response still counts as in time
     * @param drainGraceNs how long a node may send new attempts after it learned of a drain
     */
    public InvariantChecker(long responseSlackNs, long drainGraceNs) {
        this.responseSlackNs = responseSlackNs;
        this.drainGraceNs = drainGraceNs;
    }

    /**
     * The number of violations of each invariant that was violated, including those without a
     * history.
     */
    public Map<Invariant, Integer> violationCounts() {
        return new EnumMap<>(violationCounts);
    }

    /** The first violations, with the histories of their requests. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** The number of requests that were checked to their ends. */
    public long checkedRequests() {
        return checkedRequests;
    }

    /** The number of requests that have not ended. */
    public int openRequests() {
        return openRequests.size();
    }

    private void recordViolation(
            Invariant invariant,
            long at,
            String subject,
            String finding,
            List<HistoryEntry> history) {
        violationCounts.merge(invariant, 1, Integer::sum);
        if (violations.size() < MAX_KEPT_VIOLATIONS) {
            violations.add(new Violation(invariant, at, subject, finding, List.copyOf(history)));
        }
    }

    /** A node has received a request; its id must be unique in the run. */
    public void requestReceived(long at, String requestId, String node, RequestTerms terms) {
        TrackedRequest tracked = new TrackedRequest(terms);
        openRequests.put(requestId, tracked);
        tracked.history.add(
                new HistoryEntry(at, HistoryEntry.Event.TAKEN, -1, node, terms.requestClass()));
    }

    /** A node has begun to send an attempt; its last byte may still be to come. */
    public void attemptSent(
            long at, String requestId, int attempt, String node, ServerLocation location) {
        TrackedRequest tracked = tracked(requestId);
        if (tracked == null) {
            recordViolation(
                    Invariant.REPEATS,
                    at,
                    requestId,
                    "an attempt of "
                            + node
                            + " at "
                            + location.server()
                            + " for a request that has ended or was never received",
                    List.of());
            return;
        }
        tracked.history.add(
                new HistoryEntry(at, HistoryEntry.Event.SENT, attempt, location.server(), null));
        if (tracked.attemptsInFlight > 0) {
            recordViolation(
                    Invariant.ONE_ATTEMPT,
                    at,
                    requestId,
                    "another attempt is still in flight",
                    tracked.history);
        }
        tracked.attemptsInFlight++;
        tracked.sentAttempts.put(attempt, new SentAttempt(location, at));
        Long notifiedAt = drainNotifiedAt.get(node + " " + location.server());
        if (notifiedAt != null && at > notifiedAt + drainGraceNs) {
            recordViolation(
                    Invariant.DRAINS,
                    at,
                    requestId,
                    String.format(
                            Locale.ROOT,
                            "%s learned at %.6f s that %s accepts no new requests",
                            node,
                            notifiedAt / 1e9,
                            location.server()),
                    tracked.history);
        }
    }

    /**
     * A server has received the last byte of an attempt and has not rejected it: from now on it may
     * be executed.
     */
    public void attemptAccepted(long at, String requestId, int attempt) {
        TrackedRequest tracked = tracked(requestId);
        if (tracked == null || !tracked.sentAttempts.containsKey(attempt)) {
            return; // the request has ended and is not tracked any more
        }
        SentAttempt sent = tracked.sentAttempts.get(attempt);
        tracked.history.add(
                new HistoryEntry(
                        at, HistoryEntry.Event.BEGUN, attempt, sent.location.server(), null));
        if (tracked.firstExecutionLocation == null) {
            tracked.firstExecutionLocation = sent.location;
            tracked.firstExecutionSentAt = sent.at;
        } else if (!mayRepeat(tracked, sent.location, at)) {
            recordViolation(
                    Invariant.REPEATS,
                    at,
                    requestId,
                    "it may already have run at " + tracked.firstExecutionLocation.server(),
                    tracked.history);
        }
    }

    private static boolean mayRepeat(TrackedRequest tracked, ServerLocation location, long at) {
        RequestTerms terms = tracked.terms;
        if (terms.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (terms.idempotency() == Idempotency.NOT_IDEMPOTENT
                || at > tracked.firstExecutionSentAt + terms.deduplicationWindowNs()) {
            return false;
        }
        return switch (terms.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> location.zone().equals(tracked.firstExecutionLocation.zone());
            case CELL ->
                    (location.cell() >= 0
                                    && location.cell() == tracked.firstExecutionLocation.cell())
                            || location.server().equals(tracked.firstExecutionLocation.server());
        };
    }

    /** A node has learned, or decided, how an attempt ended. */
    public void attemptEnded(long at, String requestId, int attempt, Outcome outcome) {
        TrackedRequest tracked = tracked(requestId);
        if (tracked != null) {
            tracked.history.add(
                    new HistoryEntry(at, HistoryEntry.Event.ENDED, attempt, null, outcome));
            tracked.attemptsInFlight--;
            closeIfDone(requestId, tracked);
        }
    }

    /** A node responds to a request. */
    public void responded(long at, String requestId, String description) {
        TrackedRequest tracked = openRequests.get(requestId);
        if (tracked == null && abandoned.containsKey(requestId)) {
            return; // the client has disconnected
        }
        if (tracked == null) {
            recordViolation(
                    Invariant.ONE_ANSWER,
                    at,
                    requestId,
                    "response (" + description + ") after the request ended",
                    List.of());
            return;
        }
        tracked.history.add(
                new HistoryEntry(at, HistoryEntry.Event.ANSWERED, -1, null, description));
        if (tracked.responded) {
            recordViolation(
                    Invariant.ONE_ANSWER, at, requestId, "second response", tracked.history);
        } else if (at > tracked.terms.deadline() + responseSlackNs) {
            recordViolation(
                    Invariant.IN_TIME,
                    at,
                    requestId,
                    String.format(
                            Locale.ROOT,
                            "response %.3f ms after the deadline",
                            (at - tracked.terms.deadline()) / 1e6),
                    tracked.history);
        }
        tracked.responded = true;
        closeIfDone(requestId, tracked);
    }

    /** A client received a response that no server produced for its request. */
    public void wrongResponse(long at, String requestId, String finding) {
        TrackedRequest tracked = openRequests.get(requestId);
        recordViolation(
                Invariant.OWN_ANSWER,
                at,
                requestId,
                "wrong response: " + finding,
                tracked == null ? List.of() : tracked.history);
    }

    /** A node closed the connection of a request before the whole response. */
    public void connectionLost(long at, String requestId, String description) {
        TrackedRequest tracked = openRequests.get(requestId);
        if (tracked != null) {
            recordViolation(Invariant.ONE_ANSWER, at, requestId, description, tracked.history);
            tracked.noResponseExpected = true;
            closeIfDone(requestId, tracked);
        }
    }

    /**
     * The client disconnected early, or its node was killed or paused: no response is expected any
     * more.
     */
    public void clientDisconnected(long at, String requestId) {
        TrackedRequest tracked = openRequests.get(requestId);
        if (tracked != null) {
            tracked.history.add(
                    new HistoryEntry(at, HistoryEntry.Event.CLIENT_GONE, -1, null, null));
            tracked.noResponseExpected = true;
            closeIfDone(requestId, tracked);
        }
    }

    /** The client timed out, including all slack, without a response. */
    public void deadlineMissed(long at, String requestId) {
        TrackedRequest tracked = openRequests.get(requestId);
        if (tracked != null && !tracked.responded && !tracked.noResponseExpected) {
            tracked.history.add(new HistoryEntry(at, HistoryEntry.Event.OVERDUE, -1, null, null));
            recordViolation(Invariant.IN_TIME, at, requestId, "no response", tracked.history);
            tracked.noResponseExpected = true;
            closeIfDone(requestId, tracked);
        }
    }

    /**
     * Drops a request whose node was killed, or whose client is about to send it again on a new
     * connection.
     */
    public void forget(String requestId) {
        if (openRequests.remove(requestId) != null) {
            checkedRequests++;
        }
    }

    private void closeIfDone(String requestId, TrackedRequest tracked) {
        if ((tracked.responded || tracked.noResponseExpected)
                && tracked.attemptsInFlight <= 0
                && openRequests.remove(requestId) != null) {
            checkedRequests++;
            if (!tracked.responded) {
                abandoned.put(requestId, tracked);
                if (abandoned.size() > MAX_ABANDONED) {
                    abandoned.remove(abandoned.keySet().iterator().next());
                }
            }
        }
    }

    private TrackedRequest tracked(String requestId) {
        TrackedRequest tracked = openRequests.get(requestId);
        return tracked != null ? tracked : abandoned.get(requestId);
    }

    /** A node has learned that a server drains or is gone, or that it is ready again. */
    public void endpointStateReceived(long at, String node, String server, boolean acceptsNew) {
        if (acceptsNew) {
            drainNotifiedAt.remove(node + " " + server);
        } else {
            drainNotifiedAt.putIfAbsent(node + " " + server, at);
        }
    }

    /** A cold server crashed because it received too much work. */
    public void coldServerOverloaded(long at, String server) {
        recordViolation(
                Invariant.COLD_STARTS,
                at,
                server,
                "the cold server received more work than it can take",
                List.of());
    }

    /** Ends the run: requests that still wait for a response count as overdue. */
    public void finish(long at) {
        for (String requestId : new ArrayList<>(openRequests.keySet())) {
            deadlineMissed(at, requestId);
        }
    }
}
