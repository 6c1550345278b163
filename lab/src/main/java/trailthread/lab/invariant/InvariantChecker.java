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
 * Watches a run, virtual or real, from outside, and judges it by the rules. It is told what
 * happened, in order, and asks nothing of those it judges: an attempt counts as one that may have
 * run from its last byte on, whatever its node makes of its end.
 */
public final class InvariantChecker {
    /** Violations that are kept with their histories; more are counted. */
    private static final int MAX_KEPT_VIOLATIONS = 20;

    private static final int MAX_ABANDONED = 10_000;

    /** A place where an attempt runs, as far as repeats go. */
    public record ServerLocation(String server, String zone, int cell) {}

    private static final class TrackedRequest {
        final RequestTerms terms;
        final List<HistoryEntry> history = new ArrayList<>(6);

        /**
         * The place and time of the first attempt that reached a server and was not turned away by
         * it.
         */
        ServerLocation firstExecutedAt;

        long firstExecutedSentAt;
        int attemptsInFlight;
        boolean responded;
        boolean released;

        /** The attempts, by number, that are out. */
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
     * Calls whose clients have left: their nodes may still send them, and may repeat them no more
     * than others.
     */
    private final Map<String, TrackedRequest> abandoned = new LinkedHashMap<>();

    /** When each node was told that a server wants nothing new. */
    private final Map<String, Long> drainNotifiedAt = new HashMap<>();

    private final Map<Invariant, Integer> violationCounts = new EnumMap<>(Invariant.class);
    private final List<Violation> violations = new ArrayList<>();
    private long checkedRequests;

    /**
     * @param responseSlackNs how far past its deadline an answer still counts
     * @param drainGraceNs how long after the news of a drain something new may still be sent
     */
    public InvariantChecker(long responseSlackNs, long drainGraceNs) {
        this.responseSlackNs = responseSlackNs;
        this.drainGraceNs = drainGraceNs;
    }

    /** How often each rule was broken; without those that were kept. */
    public Map<Invariant, Integer> violationCounts() {
        return new EnumMap<>(violationCounts);
    }

    /** The first violations, with their histories. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Calls that have been judged to their ends. */
    public long checkedRequests() {
        return checkedRequests;
    }

    /** Calls whose ends are still to come. */
    public int openRequests() {
        return openRequests.size();
    }

    private void violated(
            Invariant rule, long at, String who, String what, List<HistoryEntry> history) {
        violationCounts.merge(rule, 1, Integer::sum);
        if (violations.size() < MAX_KEPT_VIOLATIONS) {
            violations.add(new Violation(rule, at, who, what, List.copyOf(history)));
        }
    }

    /** A node has taken a call, under a name that no other call has. */
    public void requestReceived(long at, String requestId, String node, RequestTerms terms) {
        TrackedRequest tracked = new TrackedRequest(terms);
        openRequests.put(requestId, tracked);
        tracked.history.add(
                new HistoryEntry(at, HistoryEntry.Event.TAKEN, -1, node, terms.requestClass()));
    }

    /** An attempt leaves its node; its last byte need not have. */
    public void attemptSent(
            long at, String requestId, int attempt, String node, ServerLocation location) {
        TrackedRequest tracked = tracked(requestId);
        if (tracked == null) {
            violated(
                    Invariant.REPEATS,
                    at,
                    requestId,
                    "an attempt of "
                            + node
                            + " at "
                            + location.server()
                            + " for a call that is over or was never taken",
                    List.of());
            return;
        }
        tracked.history.add(
                new HistoryEntry(at, HistoryEntry.Event.SENT, attempt, location.server(), null));
        if (tracked.attemptsInFlight > 0) {
            violated(
                    Invariant.ONE_ATTEMPT,
                    at,
                    requestId,
                    "another attempt is still out",
                    tracked.history);
        }
        tracked.attemptsInFlight++;
        tracked.sentAttempts.put(attempt, new SentAttempt(location, at));
        Long notifiedAt = drainNotifiedAt.get(node + " " + location.server());
        if (notifiedAt != null && at > notifiedAt + drainGraceNs) {
            violated(
                    Invariant.DRAINS,
                    at,
                    requestId,
                    String.format(
                            Locale.ROOT,
                            "%s was told at %.6f s that %s wants nothing new",
                            node,
                            notifiedAt / 1e9,
                            location.server()),
                    tracked.history);
        }
    }

    /**
     * An attempt's last byte has come to its server, which has not turned it away: from now on it
     * may run.
     */
    public void executionStarted(long at, String requestId, int attempt) {
        TrackedRequest tracked = tracked(requestId);
        if (tracked == null || !tracked.sentAttempts.containsKey(attempt)) {
            return; // its client and its node have forgotten it
        }
        SentAttempt attemptSent = tracked.sentAttempts.get(attempt);
        tracked.history.add(
                new HistoryEntry(
                        at,
                        HistoryEntry.Event.BEGUN,
                        attempt,
                        attemptSent.location.server(),
                        null));
        if (tracked.firstExecutedAt == null) {
            tracked.firstExecutedAt = attemptSent.location;
            tracked.firstExecutedSentAt = attemptSent.at;
        } else if (!mayRepeat(tracked, attemptSent.location, at)) {
            violated(
                    Invariant.REPEATS,
                    at,
                    requestId,
                    "it may have run at " + tracked.firstExecutedAt.server() + " before",
                    tracked.history);
        }
    }

    private static boolean mayRepeat(TrackedRequest tracked, ServerLocation location, long at) {
        RequestTerms terms = tracked.terms;
        if (terms.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (terms.idempotency() == Idempotency.NOT_IDEMPOTENT
                || at > tracked.firstExecutedSentAt + terms.deduplicationWindowNs()) {
            return false;
        }
        return switch (terms.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> location.zone().equals(tracked.firstExecutedAt.zone());
            case CELL ->
                    (location.cell() >= 0 && location.cell() == tracked.firstExecutedAt.cell())
                            || location.server().equals(tracked.firstExecutedAt.server());
        };
    }

    /** An attempt's node has heard, or decided, how it ended. */
    public void attemptEnded(long at, String requestId, int attempt, Outcome outcome) {
        TrackedRequest tracked = tracked(requestId);
        if (tracked != null) {
            tracked.history.add(
                    new HistoryEntry(at, HistoryEntry.Event.ENDED, attempt, null, outcome));
            tracked.attemptsInFlight--;
            release(requestId, tracked);
        }
    }

    /** A node answers a call. */
    public void responded(long at, String requestId, String how) {
        TrackedRequest tracked = openRequests.get(requestId);
        if (tracked == null && abandoned.containsKey(requestId)) {
            return; // nobody hears it any more
        }
        if (tracked == null) {
            violated(
                    Invariant.ONE_ANSWER,
                    at,
                    requestId,
                    "answered (" + how + ") after its end",
                    List.of());
            return;
        }
        tracked.history.add(new HistoryEntry(at, HistoryEntry.Event.ANSWERED, -1, null, how));
        if (tracked.responded) {
            violated(Invariant.ONE_ANSWER, at, requestId, "a second answer", tracked.history);
        } else if (at > tracked.terms.deadline() + responseSlackNs) {
            violated(
                    Invariant.IN_TIME,
                    at,
                    requestId,
                    String.format(
                            Locale.ROOT,
                            "%.3f ms after its deadline",
                            (at - tracked.terms.deadline()) / 1e6),
                    tracked.history);
        }
        tracked.responded = true;
        release(requestId, tracked);
    }

    /** The answer that a call was given is none that a server made for it. */
    public void wrongResponse(long at, String requestId, String what) {
        TrackedRequest tracked = openRequests.get(requestId);
        violated(
                Invariant.OWN_ANSWER,
                at,
                requestId,
                "served with: " + what,
                tracked == null ? List.of() : tracked.history);
    }

    /** A call's connection was ended by its node without a whole answer. */
    public void connectionLost(long at, String requestId, String how) {
        TrackedRequest tracked = openRequests.get(requestId);
        if (tracked != null) {
            violated(Invariant.ONE_ANSWER, at, requestId, how, tracked.history);
            tracked.released = true;
            release(requestId, tracked);
        }
    }

    /** The client has gone early, or its node was killed: no answer is owed any more. */
    public void clientDisconnected(long at, String requestId) {
        TrackedRequest tracked = openRequests.get(requestId);
        if (tracked != null) {
            tracked.history.add(
                    new HistoryEntry(at, HistoryEntry.Event.CLIENT_GONE, -1, null, null));
            tracked.released = true;
            release(requestId, tracked);
        }
    }

    /** The client's time is over, with all slack, and nothing came. */
    public void deadlineMissed(long at, String requestId) {
        TrackedRequest tracked = openRequests.get(requestId);
        if (tracked != null && !tracked.responded && !tracked.released) {
            tracked.history.add(new HistoryEntry(at, HistoryEntry.Event.OVERDUE, -1, null, null));
            violated(Invariant.IN_TIME, at, requestId, "no answer", tracked.history);
            tracked.released = true;
            release(requestId, tracked);
        }
    }

    /** A node was killed: what it had is over. */
    public void forget(String requestId) {
        if (openRequests.remove(requestId) != null) {
            checkedRequests++;
        }
    }

    private void release(String requestId, TrackedRequest tracked) {
        if ((tracked.responded || tracked.released)
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

    /** A node has been told that a server drains or is gone, or that it is ready (again). */
    public void endpointStateReceived(long at, String node, String server, boolean acceptsNew) {
        if (acceptsNew) {
            drainNotifiedAt.remove(node + " " + server);
        } else {
            drainNotifiedAt.putIfAbsent(node + " " + server, at);
        }
    }

    /** A cold server has fallen over. */
    public void coldServerOverloaded(long at, String server) {
        violated(
                Invariant.COLD_STARTS,
                at,
                server,
                "it was sent more than a cold worker bears",
                List.of());
    }

    /** The run is over: calls that are still owed an answer were lost. */
    public void finish(long at) {
        for (String requestId : new ArrayList<>(openRequests.keySet())) {
            deadlineMissed(at, requestId);
        }
    }
}
