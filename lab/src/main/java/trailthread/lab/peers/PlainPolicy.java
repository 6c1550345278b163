package trailthread.lab.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.Entry;
import trailthread.BalancerApi.Events;
import trailthread.BalancerApi.Group;
import trailthread.BalancerApi.ListKind;
import trailthread.BalancerApi.Load;
import trailthread.BalancerApi.Outcome;
import trailthread.BalancerApi.RequestClass;
import trailthread.BalancerApi.Semantics;
import trailthread.BalancerApi.Settings;
import trailthread.BalancerApi.State;

/**
 * What all textbook policies have in common: the list, and the rules on repeats, which are the same
 * for all. Which worker a request goes to is each one's own. None of them holds requests back or
 * limits what is out.
 */
abstract class PlainPolicy implements Events {
    private static final long WATCH_AGAIN_NS = 1_000_000_000L;
    private static final long WATCH = 1;

    /** A worker, as this node knows it. */
    static class Backend {
        final String name;
        String zone;
        int cell;
        State state;

        /** Own attempts that are out. */
        int outstanding;

        /**
         * Queue as reports told it, smoothed, or requests in hand where they tell no queue; own
         * sends since then.
         */
        double told;

        double lastTold = -1;
        int sentSince;

        Backend(String name) {
            this.name = name;
        }
    }

    private static final class Request {
        final RequestClass rules;
        final long deadline;
        final List<Backend> sent = new ArrayList<>(1);
        final List<Long> sentAt = new ArrayList<>(1);
        int firstRan = -1;

        Request(RequestClass rules, long deadline) {
            this.rules = rules;
            this.deadline = deadline;
        }
    }

    final Settings settings;
    final Actions actions;
    final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Backend> known = new LinkedHashMap<>();
    private final Map<Long, Request> requests = new HashMap<>();
    private List<Backend> ready = List.of();

    PlainPolicy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        settings.classes.forEach(c -> classes.put(c.name(), c));
    }

    /** One of these, of which there is at least one; null: none, and the request is given up. */
    abstract Backend choose(List<Backend> among, RequestClass rules, long now);

    /** Those that want new work. */
    List<Backend> ready() {
        return ready;
    }

    /** A worker by its name, or null. */
    Backend known(String name) {
        return known.get(name);
    }

    @Override
    public void list(long now, ListKind kind, List<Entry> entries) {
        if (kind == ListKind.FAILED) {
            actions.timer(WATCH_AGAIN_NS, WATCH);
            return;
        }
        if (kind != ListKind.DELTA) {
            known.values().forEach(b -> b.state = State.GONE);
        }
        for (Entry entry : entries) {
            Backend backend = known.computeIfAbsent(entry.backend(), this::backend);
            backend.state = entry.state();
            backend.zone = entry.zone();
            backend.cell = entry.cell();
        }
        known.values().removeIf(b -> b.state == State.GONE);
        ready = known.values().stream().filter(b -> b.state == State.READY).toList();
        if (kind == ListKind.CACHED && settings.listOnRequest) {
            actions.watch(true);
        }
    }

    Backend backend(String name) {
        return new Backend(name);
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
        List<Backend> among = among(request, now);
        boolean may =
                !among.isEmpty()
                        && request.sent.size() < settings.maxAttempts
                        && now < request.deadline;
        Backend backend = may ? choose(among, request.rules, now) : null;
        if (backend == null) {
            requests.remove(id);
            if (request.firstRan < 0 || request.rules.semantics() == Semantics.SAFE) {
                actions.refuse(id, 0);
            } else {
                actions.fail(id);
            }
            return;
        }
        request.sent.add(backend);
        request.sentAt.add(now);
        backend.outstanding++;
        backend.sentSince++;
        actions.send(id, 0, Long.MAX_VALUE, backend.name);
    }

    /**
     * Where it may go: the rules on repeats, and then another worker than before where there is
     * one.
     */
    private List<Backend> among(Request request, long now) {
        if (request.sent.isEmpty()) {
            return ready;
        }
        List<Backend> allowed = new ArrayList<>();
        for (Backend backend : ready) {
            if (request.firstRan < 0 || mayRepeat(request, backend, now)) {
                allowed.add(backend);
            }
        }
        List<Backend> others = allowed.stream().filter(b -> !request.sent.contains(b)).toList();
        return others.isEmpty() ? allowed : others;
    }

    private boolean mayRepeat(Request request, Backend backend, long now) {
        RequestClass rules = request.rules;
        Backend first = request.sent.get(request.firstRan);
        return rules.semantics() == Semantics.SAFE
                || (rules.semantics() == Semantics.KEYED
                        && now + settings.connectTimeoutNs
                                < request.sentAt.get(request.firstRan) + rules.windowNs()
                        && (rules.group() == Group.ALL
                                || (rules.group() == Group.ZONE && first.zone.equals(backend.zone))
                                || (rules.group() == Group.CELL
                                        && (first == backend
                                                || (first.cell >= 0
                                                        && first.cell == backend.cell)))));
    }

    @Override
    public void outcome(
            long now,
            long id,
            int attempt,
            Outcome outcome,
            long latency,
            boolean closed,
            Load load) {
        Request request = requests.get(id);
        if (request == null) {
            return;
        }
        Backend backend = request.sent.get(attempt);
        backend.outstanding--;
        backend.sentSince = Math.max(0, backend.sentSince - 1);
        if (load != null) {
            report(backend, load);
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

    private static void report(Backend backend, Load load) {
        double told = load.queue() >= 0 ? load.queue() : load.inflight();
        if (told >= 0 && told != backend.lastTold) {
            backend.lastTold = told;
            backend.told += 0.5 * (told - backend.told);
            backend.sentSince = 0;
        }
    }

    @Override
    public void gone(long now, long id) {
        Request request = requests.remove(id);
        if (request != null && !request.sent.isEmpty()) {
            Backend backend = request.sent.get(request.sent.size() - 1);
            backend.outstanding = Math.max(0, backend.outstanding - 1);
        }
    }

    @Override
    public void timer(long now, long token) {
        if (token == WATCH) {
            actions.watch(true);
        }
    }

    @Override
    public void firstByte(long now, long id, int attempt) {}

    @Override
    public void probed(long now, String backend, Outcome outcome, long latency, Load load) {}

    /** The first of the least, from a random place on, so that ties fall evenly. */
    Backend least(List<Backend> among, java.util.function.ToDoubleFunction<Backend> cost) {
        int from = random.nextInt(among.size());
        Backend best = null;
        double least = 0;
        for (int i = 0; i < among.size(); i++) {
            Backend backend = among.get((from + i) % among.size());
            double its = cost.applyAsDouble(backend);
            if (best == null || its < least) {
                best = backend;
                least = its;
            }
        }
        return best;
    }
}
