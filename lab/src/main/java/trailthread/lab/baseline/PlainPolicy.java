package trailthread.lab.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * What all textbook policies have in common: the list, and the rules on repeats, which are the same
 * for all. Which server a request goes to is each one's own. None of them holds requests back or
 * limits what is out.
 */
abstract class PlainPolicy implements BalancerEvents {
    private static final long WATCH_RETRY_NS = 1_000_000_000L;
    private static final long WATCH_TIMER = 1;

    /** A server, as this node knows it. */
    static class Endpoint {
        final String name;
        String zone;
        int cell;
        EndpointState state;

        /** Own attempts that are out. */
        int outstanding;

        /**
         * Queue as reports told it, smoothed, or requests in hand where they tell no queue; own
         * sends since then.
         */
        double reportedQueue;

        double lastReportedQueue = -1;
        int sentSinceReport;

        Endpoint(String name) {
            this.name = name;
        }
    }

    private static final class Request {
        final RequestClass rules;
        final long deadline;
        final List<Endpoint> sent = new ArrayList<>(1);
        final List<Long> sentAt = new ArrayList<>(1);
        int firstRan = -1;

        Request(RequestClass rules, long deadline) {
            this.rules = rules;
            this.deadline = deadline;
        }
    }

    final Settings settings;
    final BalancerActions actions;
    final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Endpoint> known = new LinkedHashMap<>();
    private final Map<Long, Request> requests = new HashMap<>();
    private List<Endpoint> ready = List.of();

    PlainPolicy(Settings settings, long seed, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        settings.classes.forEach(c -> classes.put(c.name(), c));
    }

    /** One of these, of which there is at least one; null: none, and the request is given up. */
    abstract Endpoint choose(List<Endpoint> candidates, RequestClass rules, long now);

    /** Those that want new work. */
    List<Endpoint> ready() {
        return ready;
    }

    /** A server by its name, or null. */
    Endpoint known(String name) {
        return known.get(name);
    }

    @Override
    public void list(long now, ListKind kind, List<EndpointEntry> entries) {
        if (kind == ListKind.FAILED) {
            actions.timer(WATCH_RETRY_NS, WATCH_TIMER);
            return;
        }
        if (kind != ListKind.DELTA) {
            known.values().forEach(b -> b.state = EndpointState.GONE);
        }
        for (EndpointEntry entry : entries) {
            Endpoint endpoint = known.computeIfAbsent(entry.endpoint(), this::endpoint);
            endpoint.state = entry.state();
            endpoint.zone = entry.zone();
            endpoint.cell = entry.cell();
        }
        known.values().removeIf(b -> b.state == EndpointState.GONE);
        ready = known.values().stream().filter(b -> b.state == EndpointState.READY).toList();
        if (kind == ListKind.CACHED && settings.listIsPolled) {
            actions.watch(true);
        }
    }

    Endpoint endpoint(String name) {
        return new Endpoint(name);
    }

    @Override
    public void request(
            long now,
            long id,
            String requestClass,
            long workNs,
            long deadline,
            String tenant,
            boolean repeat,
            long key) {
        Request request = new Request(classes.get(requestClass), deadline);
        requests.put(id, request);
        send(now, id, request);
    }

    private void send(long now, long id, Request request) {
        List<Endpoint> candidates = candidates(request, now);
        boolean may =
                !candidates.isEmpty()
                        && request.sent.size() < settings.maxAttempts
                        && now < request.deadline;
        Endpoint endpoint = may ? choose(candidates, request.rules, now) : null;
        if (endpoint == null) {
            requests.remove(id);
            if (request.firstRan < 0 || request.rules.idempotency() == Idempotency.IDEMPOTENT) {
                actions.refuse(id, 0);
            } else {
                actions.fail(id);
            }
            return;
        }
        request.sent.add(endpoint);
        request.sentAt.add(now);
        endpoint.outstanding++;
        endpoint.sentSinceReport++;
        actions.send(id, 0, Long.MAX_VALUE, endpoint.name);
    }

    /**
     * Where it may go: the rules on repeats, and then another server than before where there is
     * one.
     */
    private List<Endpoint> candidates(Request request, long now) {
        if (request.sent.isEmpty()) {
            return ready;
        }
        List<Endpoint> allowed = new ArrayList<>();
        for (Endpoint endpoint : ready) {
            if (request.firstRan < 0 || mayRepeat(request, endpoint, now)) {
                allowed.add(endpoint);
            }
        }
        List<Endpoint> others = allowed.stream().filter(b -> !request.sent.contains(b)).toList();
        return others.isEmpty() ? allowed : others;
    }

    private boolean mayRepeat(Request request, Endpoint endpoint, long now) {
        RequestClass rules = request.rules;
        Endpoint first = request.sent.get(request.firstRan);
        return rules.idempotency() == Idempotency.IDEMPOTENT
                || (rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now + settings.connectTimeoutNs
                                < request.sentAt.get(request.firstRan)
                                        + rules.deduplicationWindowNs()
                        && (rules.deduplicationScope() == DeduplicationScope.ALL
                                || (rules.deduplicationScope() == DeduplicationScope.ZONE
                                        && first.zone.equals(endpoint.zone))
                                || (rules.deduplicationScope() == DeduplicationScope.CELL
                                        && (first == endpoint
                                                || (first.cell >= 0
                                                        && first.cell == endpoint.cell)))));
    }

    @Override
    public void outcome(
            long now,
            long id,
            int attempt,
            Outcome outcome,
            long latency,
            boolean closed,
            LoadReport load) {
        Request request = requests.get(id);
        if (request == null) {
            return;
        }
        Endpoint endpoint = request.sent.get(attempt);
        endpoint.outstanding--;
        endpoint.sentSinceReport = Math.max(0, endpoint.sentSinceReport - 1);
        if (load != null) {
            report(endpoint, load);
        }
        if (outcome.mayHaveRun() && request.firstRan < 0) {
            request.firstRan = attempt;
        }
        if (closed || outcome == Outcome.OK) {
            requests.remove(id);
        } else {
            send(now, id, request);
        }
    }

    private static void report(Endpoint endpoint, LoadReport load) {
        double reportedQueue = load.queue() >= 0 ? load.queue() : load.inflight();
        if (reportedQueue >= 0 && reportedQueue != endpoint.lastReportedQueue) {
            endpoint.lastReportedQueue = reportedQueue;
            endpoint.reportedQueue += 0.5 * (reportedQueue - endpoint.reportedQueue);
            endpoint.sentSinceReport = 0;
        }
    }

    @Override
    public void clientDisconnected(long now, long id) {
        Request request = requests.remove(id);
        if (request != null && !request.sent.isEmpty()) {
            Endpoint endpoint = request.sent.get(request.sent.size() - 1);
            endpoint.outstanding = Math.max(0, endpoint.outstanding - 1);
        }
    }

    @Override
    public void timer(long now, long token) {
        if (token == WATCH_TIMER) {
            actions.watch(true);
        }
    }

    @Override
    public void firstByte(long now, long id, int attempt) {}

    @Override
    public void healthChecked(
            long now, String endpoint, Outcome outcome, long latency, LoadReport load) {}

    /** The first of the least, from a random place on, so that ties fall evenly. */
    Endpoint leastBy(
            List<Endpoint> candidates, java.util.function.ToDoubleFunction<Endpoint> cost) {
        int from = random.nextInt(candidates.size());
        Endpoint best = null;
        double least = 0;
        for (int i = 0; i < candidates.size(); i++) {
            Endpoint endpoint = candidates.get((from + i) % candidates.size());
            double its = cost.applyAsDouble(endpoint);
            if (best == null || its < least) {
                best = endpoint;
                least = its;
            }
        }
        return best;
    }
}
