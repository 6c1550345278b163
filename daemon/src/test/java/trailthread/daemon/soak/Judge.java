package trailthread.daemon.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Judges the requests of a run by {@link Rule}; pure. */
final class Judge {
    private static final long NS_PER_MS = 1_000_000L;

    /** A response earns nothing for so long after its deadline, and then is lost. */
    private static final long LATE_RESPONSE_NS = 500 * NS_PER_MS;

    private static final long CLIENT_LEFT_NS = 100 * NS_PER_MS;

    /** A rule that was broken, and what shows it. */
    record Break(Rule rule, String evidence) {}

    /** When the signals were sent, by {@link System#nanoTime}; {@code killedAt} may be never. */
    record Times(long terminatedAt, long killedAt) {}

    private final Times times;
    private final List<Break> breaks = new ArrayList<>();

    private Judge(Times times) {
        this.times = times;
    }

    /** The broken rules, with the history of each request that shows one. */
    static List<Break> judge(Collection<RequestHistory> requests, Times times) {
        Judge judge = new Judge(times);
        requests.forEach(judge::judge);
        return judge.breaks;
    }

    private void judge(RequestHistory request) {
        boolean clientStayed = request.clientLeftAt == RequestHistory.NEVER;
        boolean endedBeforeKill = request.endedAt < times.killedAt;
        if (clientStayed && !request.answered && !endedBeforeKill) {
            check(request, request.writtenAt >= times.killedAt, Rule.UNANSWERED_AT_KILL);
        }
        if (clientStayed && !request.answered && endedBeforeKill) {
            check(request, request.receivedAt.isEmpty(), Rule.CLOSED_UNDER_REQUEST);
        }
        if (request.answered) {
            long dueAt = request.begunAt + request.deadlineMs * NS_PER_MS + LATE_RESPONSE_NS;
            check(request, request.endedAt <= dueAt, Rule.LATE_RESPONSE);
        }
        if (request.kind == RequestKind.USE) {
            check(request, request.receivedAt.size() <= 1, Rule.REPEATED);
        }
        if (!clientStayed) {
            long latest = request.clientLeftAt + CLIENT_LEFT_NS;
            check(
                    request,
                    request.receivedAt.stream().allMatch(at -> at <= latest),
                    Rule.BEGUN_AFTER_CLIENT_LEFT);
        }
    }

    private void check(RequestHistory request, boolean kept, Rule rule) {
        if (!kept) {
            breaks.add(new Break(rule, request.text(times.terminatedAt)));
        }
    }
}
