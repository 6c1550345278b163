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
 * What the textbook policies have in common: the endpoint list and the rules on repeats. Each
 * policy only chooses the server. None of them queues requests or limits the outstanding ones.
 */
abstract class PlainPolicy implements BalancerEvents {
    private static final long WATCH_RETRY_NS = 1_000_000_000L;
    private static final long WATCH_TIMER = 1;

    /** A server as this node sees it. */
    static class Endpoint {
        final String name;
        String zone;
        int cell;
        EndpointState state;

        /** The outstanding attempts of this node. */
        int outstanding;

        /**
         * The smoothed queue length from load reports, or the requests in flight if the reports
         * have no queue length.
         */
        double reportedQueue;

        double lastReportedQueue = -1;

        /** Attempts of this node since the reported value last changed. */
        int sentSinceReport;

        Endpoint(String name) {
            this.name = name;
        }
    }

    private static final class Request {
        final RequestClass requestClass;
        final long deadline;
        final List<Endpoint> sentTo = new ArrayList<>(1);
        final List<Long> sentAt = new ArrayList<>(1);

        /** The first attempt that may have been executed; -1 if none. */
        int firstExecuted = -1;

        Request(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }
    }

    final Settings settings;
    final BalancerActions actions;
    final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<Long, Request> requests = new HashMap<>();
    private List<Endpoint> ready = List.of();

    PlainPolicy(Settings settings, long seed, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        settings.classes.forEach(c -> classes.put(c.name(), c));
    }

    /** Chooses one of the candidates, of which there is at least one; null for none of them. */
    abstract Endpoint choose(List<Endpoint> candidates, RequestClass requestClass, long now);

    /** The servers that accept new requests. */
    List<Endpoint> ready() {
        return ready;
    }

    /** Returns null if there is none. */
    Endpoint byName(String name) {
        return endpoints.get(name);
    }

    @Override
    public void updateEndpointList(long now, ListKind kind, List<EndpointEntry> entries) {
        if (kind == ListKind.FAILED) {
            actions.setTimer(WATCH_RETRY_NS, WATCH_TIMER);
            return;
        }
        if (kind != ListKind.DELTA) {
            endpoints.values().forEach(endpoint -> endpoint.state = EndpointState.GONE);
        }
        for (EndpointEntry entry : entries) {
            Endpoint endpoint = endpoints.computeIfAbsent(entry.endpoint(), this::newEndpoint);
            endpoint.state = entry.state();
            endpoint.zone = entry.zone();
            endpoint.cell = entry.cell();
        }
        endpoints.values().removeIf(endpoint -> endpoint.state == EndpointState.GONE);
        ready =
                endpoints.values().stream()
                        .filter(endpoint -> endpoint.state == EndpointState.READY)
                        .toList();
        if (kind == ListKind.CACHED && settings.listIsPolled) {
            actions.watchList(true);
        }
    }

    Endpoint newEndpoint(String name) {
        return new Endpoint(name);
    }

    @Override
    public void requestArrived(
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
        boolean maySend =
                !candidates.isEmpty()
                        && request.sentTo.size() < settings.maxAttempts
                        && now < request.deadline;
        Endpoint endpoint = maySend ? choose(candidates, request.requestClass, now) : null;
        if (endpoint == null) {
            requests.remove(id);
            if (request.firstExecuted < 0
                    || request.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
                actions.reject(id, 0);
            } else {
                actions.fail(id);
            }
            return;
        }
        request.sentTo.add(endpoint);
        request.sentAt.add(now);
        endpoint.outstanding++;
        endpoint.sentSinceReport++;
        actions.send(id, 0, Long.MAX_VALUE, endpoint.name);
    }

    /**
     * The servers that the rules on repeats allow, without those that the request was sent to if
     * any others are left.
     */
    private List<Endpoint> candidates(Request request, long now) {
        if (request.sentTo.isEmpty()) {
            return ready;
        }
        List<Endpoint> allowed = new ArrayList<>();
        for (Endpoint endpoint : ready) {
            if (request.firstExecuted < 0 || mayRepeat(request, endpoint, now)) {
                allowed.add(endpoint);
            }
        }
        List<Endpoint> others =
                allowed.stream().filter(endpoint -> !request.sentTo.contains(endpoint)).toList();
        return others.isEmpty() ? allowed : others;
    }

    private boolean mayRepeat(Request request, Endpoint endpoint, long now) {
        RequestClass requestClass = request.requestClass;
        Endpoint first = request.sentTo.get(request.firstExecuted);
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now + settings.connectTimeoutNs
                                < request.sentAt.get(request.firstExecuted)
                                        + requestClass.deduplicationWindowNs()
                        && (requestClass.deduplicationScope() == DeduplicationScope.ALL
                                || (requestClass.deduplicationScope() == DeduplicationScope.ZONE
                                        && first.zone.equals(endpoint.zone))
                                || (requestClass.deduplicationScope() == DeduplicationScope.CELL
                                        && (first == endpoint
                                                || (first.cell >= 0
                                                        && first.cell == endpoint.cell)))));
    }

    @Override
    public void attemptEnded(
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
        Endpoint endpoint = request.sentTo.get(attempt);
        endpoint.outstanding--;
        endpoint.sentSinceReport = Math.max(0, endpoint.sentSinceReport - 1);
        if (load != null) {
            updateReport(endpoint, load);
        }
        if (outcome.mayHaveRun() && request.firstExecuted < 0) {
            request.firstExecuted = attempt;
        }
        if (closed || outcome == Outcome.OK) {
            requests.remove(id);
        } else {
            send(now, id, request);
        }
    }

    private static void updateReport(Endpoint endpoint, LoadReport load) {
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
        if (request != null && !request.sentTo.isEmpty()) {
            Endpoint endpoint = request.sentTo.get(request.sentTo.size() - 1);
            endpoint.outstanding = Math.max(0, endpoint.outstanding - 1);
        }
    }

    @Override
    public void timerFired(long now, long token) {
        if (token == WATCH_TIMER) {
            actions.watchList(true);
        }
    }

    @Override
    public void bodyStreamed(long now, long id, int attempt) {}

    @Override
    public void responseBegan(long now, long id, int attempt, long heldUntil) {}

    @Override
    public void firstByteReceived(long now, long id, int attempt) {}

    @Override
    public void healthChecked(
            long now, String endpoint, Outcome outcome, long latency, LoadReport load) {}

    /**
     * Returns the endpoint of least cost. The search starts at a random place, so that ties are
     * broken evenly.
     */
    Endpoint leastBy(
            List<Endpoint> candidates, java.util.function.ToDoubleFunction<Endpoint> cost) {
        int from = random.nextInt(candidates.size());
        Endpoint best = null;
        double least = 0;
        for (int i = 0; i < candidates.size(); i++) {
            Endpoint endpoint = candidates.get((from + i) % candidates.size());
            double endpointCost = cost.applyAsDouble(endpoint);
            if (best == null || endpointCost < least) {
                best = endpoint;
                least = endpointCost;
            }
        }
        return best;
    }
}
