package trailthread.daemon.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Checks the requests of a run against each {@link Rule}. Does no I/O. */
final class RuleChecker {
    private static final long NS_PER_MS = 1_000_000L;

    /**
     * A response this long after its deadline, although useless, is not a violation; a later one
     * counts as lost.
     */
    private static final long LATE_RESPONSE_NS = 500 * NS_PER_MS;

    /** An attempt may reach a server this long after its client has left. */
    private static final long CLIENT_LEFT_NS = 100 * NS_PER_MS;

    /** A broken rule, and the history that shows it. */
    record Violation(Rule rule, String evidence) {}

    /**
     * When the signals were sent, by {@link System#nanoTime}; {@code killedAt} may be {@link
     * RequestHistory#NEVER}.
     */
    record Times(long sigtermAt, long killedAt) {}

    private final Scenario scenario;
    private final Times times;
    private final List<Violation> violations = new ArrayList<>();

    private RuleChecker(Scenario scenario, Times times) {
        this.scenario = scenario;
        this.times = times;
    }

    /** Returns the violations, each with the history of its request. */
    static List<Violation> check(
            Scenario scenario, Collection<RequestHistory> requests, Times times) {
        RuleChecker checker = new RuleChecker(scenario, times);
        requests.forEach(checker::checkRequest);
        return checker.violations;
    }

    private void checkRequest(RequestHistory request) {
        boolean clientStayed = request.clientLeftAt == RequestHistory.NEVER;
        boolean endedBeforeKill = request.endedAt < times.killedAt;
        if (clientStayed && !request.answered && !endedBeforeKill) {
            require(request, request.writtenAt >= times.killedAt, Rule.UNANSWERED_AT_KILL);
        }
        if (clientStayed && !request.answered && endedBeforeKill) {
            require(request, mayBeClosed(request), Rule.CLOSED_WITHOUT_RESPONSE);
        }
        if (request.answered) {
            long dueAt = request.startedAt + request.deadlineMs * NS_PER_MS + LATE_RESPONSE_NS;
            require(request, request.endedAt <= dueAt, Rule.LATE_RESPONSE);
            boolean isOwn =
                    request.responseBody.isEmpty() || request.responseBody.equals(request.id);
            require(request, isOwn, Rule.WRONG_RESPONSE);
        }
        if (request.kind == RequestKind.USE) {
            require(request, request.receivedAt.size() <= 1, Rule.REPEATED);
        }
        if (!clientStayed) {
            long latest = request.clientLeftAt + CLIENT_LEFT_NS;
            require(
                    request,
                    request.receivedAt.stream().allMatch(at -> at <= latest),
                    Rule.ATTEMPT_AFTER_CLIENT_LEFT);
        }
    }

    /** Whether the request's connection may end without a response. */
    private boolean mayBeClosed(RequestHistory request) {
        boolean endedInService = request.endedAt < times.sigtermAt;
        return request.receivedAt.isEmpty()
                && !(endedInService && scenario.keepsUnusedConnections());
    }

    private void require(RequestHistory request, boolean kept, Rule rule) {
        if (!kept) {
            violations.add(new Violation(rule, request.describe(times.sigtermAt)));
        }
    }
}
