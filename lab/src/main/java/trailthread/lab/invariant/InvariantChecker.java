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
    private static final int MOST_KEPT = 20;

    private static final int MOST_DEPARTED = 10_000;

    /** A place where an attempt runs, as far as repeats go. */
    public record Place(String server, String zone, int cell) {}

    private static final class Watched {
        final RequestTerms terms;
        final List<HistoryEntry> history = new ArrayList<>(6);

        /**
         * The place and time of the first attempt that reached a server and was not turned away by
         * it.
         */
        Place firstRan;

        long firstRanSent;
        int out;
        boolean answered;
        boolean released;

        /** The attempts, by number, that are out. */
        final Map<Integer, Sent> sent = new HashMap<>(2);

        Watched(RequestTerms terms) {
            this.terms = terms;
        }
    }

    private record Sent(Place place, long at) {}

    private final long responseSlackNs;
    private final long drainGraceNs;
    private final Map<String, Watched> calls = new HashMap<>();

    /**
     * Calls whose clients have left: their nodes may still send them, and may repeat them no more
     * than others.
     */
    private final Map<String, Watched> departed = new LinkedHashMap<>();

    /** When each node was told that a server wants nothing new. */
    private final Map<String, Long> drainTold = new HashMap<>();

    private final Map<Invariant, Integer> broken = new EnumMap<>(Invariant.class);
    private final List<Violation> kept = new ArrayList<>();
    private long judged;

    /**
     * @param responseSlackNs how far past its deadline an answer still counts
     * @param drainGraceNs how long after the news of a drain something new may still be sent
     */
    public InvariantChecker(long responseSlackNs, long drainGraceNs) {
        this.responseSlackNs = responseSlackNs;
        this.drainGraceNs = drainGraceNs;
    }

    /** How often each rule was broken; without those that were kept. */
    public Map<Invariant, Integer> broken() {
        return new EnumMap<>(broken);
    }

    /** The first violations, with their histories. */
    public List<Violation> violations() {
        return List.copyOf(kept);
    }

    /** Calls that have been judged to their ends. */
    public long judged() {
        return judged;
    }

    /** Calls whose ends are still to come. */
    public int open() {
        return calls.size();
    }

    private void violated(
            Invariant rule, long at, String who, String what, List<HistoryEntry> history) {
        broken.merge(rule, 1, Integer::sum);
        if (kept.size() < MOST_KEPT) {
            kept.add(new Violation(rule, at, who, what, List.copyOf(history)));
        }
    }

    /** A node has taken a call, under a name that no other call has. */
    public void taken(long at, String call, String node, RequestTerms terms) {
        Watched watched = new Watched(terms);
        calls.put(call, watched);
        watched.history.add(
                new HistoryEntry(at, HistoryEntry.What.TAKEN, -1, node, terms.requestClass()));
    }

    /** An attempt leaves its node; its last byte need not have. */
    public void sent(long at, String call, int attempt, String node, Place place) {
        Watched watched = watched(call);
        if (watched == null) {
            violated(
                    Invariant.REPEATS,
                    at,
                    call,
                    "an attempt of "
                            + node
                            + " at "
                            + place.server()
                            + " for a call that is over or was never taken",
                    List.of());
            return;
        }
        watched.history.add(
                new HistoryEntry(at, HistoryEntry.What.SENT, attempt, place.server(), null));
        if (watched.out > 0) {
            violated(
                    Invariant.ONE_ATTEMPT,
                    at,
                    call,
                    "another attempt is still out",
                    watched.history);
        }
        watched.out++;
        watched.sent.put(attempt, new Sent(place, at));
        Long told = drainTold.get(node + " " + place.server());
        if (told != null && at > told + drainGraceNs) {
            violated(
                    Invariant.DRAINS,
                    at,
                    call,
                    String.format(
                            Locale.ROOT,
                            "%s was told at %.6f s that %s wants nothing new",
                            node,
                            told / 1e9,
                            place.server()),
                    watched.history);
        }
    }

    /**
     * An attempt's last byte has come to its server, which has not turned it away: from now on it
     * may run.
     */
    public void begun(long at, String call, int attempt) {
        Watched watched = watched(call);
        if (watched == null || !watched.sent.containsKey(attempt)) {
            return; // its client and its node have forgotten it
        }
        Sent sent = watched.sent.get(attempt);
        watched.history.add(
                new HistoryEntry(at, HistoryEntry.What.BEGUN, attempt, sent.place.server(), null));
        if (watched.firstRan == null) {
            watched.firstRan = sent.place;
            watched.firstRanSent = sent.at;
        } else if (!mayRepeat(watched, sent.place, at)) {
            violated(
                    Invariant.REPEATS,
                    at,
                    call,
                    "it may have run at " + watched.firstRan.server() + " before",
                    watched.history);
        }
    }

    private static boolean mayRepeat(Watched watched, Place place, long at) {
        RequestTerms terms = watched.terms;
        if (terms.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (terms.idempotency() == Idempotency.NOT_IDEMPOTENT
                || at > watched.firstRanSent + terms.deduplicationWindowNs()) {
            return false;
        }
        return switch (terms.group()) {
            case ALL -> true;
            case ZONE -> place.zone().equals(watched.firstRan.zone());
            case CELL ->
                    (place.cell() >= 0 && place.cell() == watched.firstRan.cell())
                            || place.server().equals(watched.firstRan.server());
        };
    }

    /** An attempt's node has heard, or decided, how it ended. */
    public void ended(long at, String call, int attempt, Outcome outcome) {
        Watched watched = watched(call);
        if (watched != null) {
            watched.history.add(
                    new HistoryEntry(at, HistoryEntry.What.ENDED, attempt, null, outcome));
            watched.out--;
            release(call, watched);
        }
    }

    /** A node answers a call. */
    public void answered(long at, String call, String how) {
        Watched watched = calls.get(call);
        if (watched == null && departed.containsKey(call)) {
            return; // nobody hears it any more
        }
        if (watched == null) {
            violated(
                    Invariant.ONE_ANSWER,
                    at,
                    call,
                    "answered (" + how + ") after its end",
                    List.of());
            return;
        }
        watched.history.add(new HistoryEntry(at, HistoryEntry.What.ANSWERED, -1, null, how));
        if (watched.answered) {
            violated(Invariant.ONE_ANSWER, at, call, "a second answer", watched.history);
        } else if (at > watched.terms.deadline() + responseSlackNs) {
            violated(
                    Invariant.IN_TIME,
                    at,
                    call,
                    String.format(
                            Locale.ROOT,
                            "%.3f ms after its deadline",
                            (at - watched.terms.deadline()) / 1e6),
                    watched.history);
        }
        watched.answered = true;
        release(call, watched);
    }

    /** The answer that a call was given is none that a server made for it. */
    public void foreign(long at, String call, String what) {
        Watched watched = calls.get(call);
        violated(
                Invariant.OWN_ANSWER,
                at,
                call,
                "served with: " + what,
                watched == null ? List.of() : watched.history);
    }

    /** A call's connection was ended by its node without a whole answer. */
    public void lost(long at, String call, String how) {
        Watched watched = calls.get(call);
        if (watched != null) {
            violated(Invariant.ONE_ANSWER, at, call, how, watched.history);
            watched.released = true;
            release(call, watched);
        }
    }

    /** The client has gone early, or its node was killed: no answer is owed any more. */
    public void gone(long at, String call) {
        Watched watched = calls.get(call);
        if (watched != null) {
            watched.history.add(
                    new HistoryEntry(at, HistoryEntry.What.CLIENT_GONE, -1, null, null));
            watched.released = true;
            release(call, watched);
        }
    }

    /** The client's time is over, with all slack, and nothing came. */
    public void overdue(long at, String call) {
        Watched watched = calls.get(call);
        if (watched != null && !watched.answered && !watched.released) {
            watched.history.add(new HistoryEntry(at, HistoryEntry.What.OVERDUE, -1, null, null));
            violated(Invariant.IN_TIME, at, call, "no answer", watched.history);
            watched.released = true;
            release(call, watched);
        }
    }

    /** A node was killed: what it had is over. */
    public void forget(String call) {
        if (calls.remove(call) != null) {
            judged++;
        }
    }

    private void release(String call, Watched watched) {
        if ((watched.answered || watched.released)
                && watched.out <= 0
                && calls.remove(call) != null) {
            judged++;
            if (!watched.answered) {
                departed.put(call, watched);
                if (departed.size() > MOST_DEPARTED) {
                    departed.remove(departed.keySet().iterator().next());
                }
            }
        }
    }

    private Watched watched(String call) {
        Watched watched = calls.get(call);
        return watched != null ? watched : departed.get(call);
    }

    /** A node has been told that a server drains or is gone, or that it is ready (again). */
    public void told(long at, String node, String server, boolean wantsNew) {
        if (wantsNew) {
            drainTold.remove(node + " " + server);
        } else {
            drainTold.putIfAbsent(node + " " + server, at);
        }
    }

    /** A cold server has fallen over. */
    public void fell(long at, String server) {
        violated(
                Invariant.COLD_STARTS,
                at,
                server,
                "it was sent more than a cold worker bears",
                List.of());
    }

    /** The run is over: calls that are still owed an answer were lost. */
    public void finish(long at) {
        for (String call : new ArrayList<>(calls.keySet())) {
            overdue(at, call);
        }
    }
}
