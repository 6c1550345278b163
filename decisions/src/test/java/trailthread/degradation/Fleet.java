package trailthread.degradation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import trailthread.Balancer;
import trailthread.api.BalancerActions;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.LoadReportSource;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * Six nodes, each with the real decision module, ten workers and their clients, in virtual time. A
 * worker serves two calls at a time in 40 ms on the mean, more slowly the longer its queue, and
 * turns away past 16. Of the calls, 70 in a hundred are polls, 10 actions and 20 attempts.
 */
final class Fleet {
    static final long MS = 1_000_000;
    static final long S = 1000 * MS;
    static final int NODES = 6;
    private static final int WORKERS = 10;
    private static final int SLOTS = 2;
    private static final int LONGEST_QUEUE = 16;
    private static final double SERVICE_MS = 40;
    private static final long WIRE = MS / 2;
    private static final double[] MIX = {0.7, 0.8, 1};

    /** What a worker says of its load, which is in truth this; null: nothing. */
    interface Told {
        LoadReport load(int worker, long now, LoadReport truth);
    }

    /**
     * Load offered, of the capacity of all workers; share of workers that fail at once; age of
     * reports; how many calls of others worker 0 holds all the time; what workers say.
     */
    record Day(LongToDoubleFunction load, double failing, long reportAgeNs, int others, Told told) {
        Day(LongToDoubleFunction load, double failing, long reportAgeNs) {
            this(load, failing, reportAgeNs, 0, (worker, now, truth) -> truth);
        }
    }

    /** Something to come. */
    private record Due(long at, long serial, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(serial, o.serial);
        }
    }

    /** One client's call. */
    private static final class Call {
        final int kind;
        final long at;
        long sentAt = -1;
        int attempts;
        boolean over;

        Call(int kind, long at) {
            this.kind = kind;
            this.at = at;
        }
    }

    /**
     * Calls by class, and those answered within their aim; what became of levels, over all nodes.
     */
    final int[] asked = new int[MIX.length];

    final int[] served = new int[MIX.length];
    final List<Change> changes = new ArrayList<>();

    /** What each worker was sent. */
    final int[] sent = new int[WORKERS];

    private final Settings settings = settings();
    private final Day day;
    private final boolean withLevels;
    private final SplittableRandom random = new SplittableRandom(7);
    private final Queue<Due> dues = new PriorityQueue<>();
    private final List<Worker> workers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private long now;
    private long serial;

    Fleet(Day day, boolean withLevels) {
        this.day = day;
        this.withLevels = withLevels;
    }

    /** Plays the day. */
    Fleet play(long ns) {
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Worker(i));
        }
        for (int i = 0; i < day.others(); i++) {
            workers.get(0).serveForEver();
        }
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
        arrive();
        while (dues.peek().at() <= ns) {
            Due due = dues.poll();
            now = due.at();
            due.what().run();
        }
        return this;
    }

    double servedShare(int kind) {
        return (double) served[kind] / asked[kind];
    }

    private static Settings settings() {
        Settings s = new Settings();
        s.nodes = NODES;
        s.reports = LoadReportSource.ANSWERS;
        s.connectTimeoutNs = 100 * MS;
        s.classes.add(
                new RequestClass(
                        "bench-state",
                        300 * MS,
                        0,
                        1200 * MS,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0));
        s.classes.add(
                new RequestClass(
                        "bench-action",
                        200 * MS,
                        0,
                        500 * MS,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.CELL,
                        300 * MS,
                        10,
                        0));
        s.classes.add(
                new RequestClass(
                        "attempt-use",
                        250 * MS,
                        0,
                        1200 * MS,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        2,
                        0));
        return s;
    }

    private void after(long ns, Runnable what) {
        dues.add(new Due(now + ns, serial++, what));
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private void arrive() {
        double perSecond = day.load().applyAsDouble(now) * WORKERS * SLOTS * 1000 / SERVICE_MS;
        after(
                (long) (exponential() / perSecond * S),
                () -> {
                    double u = random.nextDouble();
                    nodes.get(random.nextInt(NODES)).take(u < MIX[0] ? 0 : u < MIX[1] ? 1 : 2);
                    arrive();
                });
    }

    /** A worker; its reports tell of a past time. */
    private final class Worker {
        private final int number;
        private final Queue<Runnable> queue = new ArrayDeque<>();
        private final ArrayDeque<long[]> past = new ArrayDeque<>(List.of(new long[3]));
        private int busy;

        Worker(int number) {
            this.number = number;
        }

        boolean fails() {
            return number < day.failing() * WORKERS;
        }

        LoadReport report() {
            long[] told = past.peekFirst();
            while (past.size() > 1 && past.peekFirst()[0] <= now - day.reportAgeNs()) {
                told = past.removeFirst();
            }
            return day.told()
                    .load(
                            number,
                            now,
                            new LoadReport(
                                    told[1],
                                    told[2],
                                    Double.NaN,
                                    Double.NaN,
                                    Double.NaN,
                                    Double.NaN));
        }

        void serveForEver() {
            serve(this::serveForEver);
        }

        void serve(Runnable done) {
            queue.add(done);
            next();
        }

        private void next() {
            while (busy < SLOTS && !queue.isEmpty()) {
                Runnable done = queue.remove();
                busy++;
                double ms = SERVICE_MS * (1 + queue.size() / 20.0) * (0.3 + 0.7 * exponential());
                after(
                        (long) (ms * MS),
                        () -> {
                            busy--;
                            done.run();
                            next();
                        });
            }
            past.add(new long[] {now, busy + queue.size(), queue.size()});
        }
    }

    /** A node: the decision module, with or without an allowance before it. */
    private final class Node implements BalancerActions {
        private final Balancer balancer;
        private final SheddingOrder order = new SheddingOrder(settings.classes, List.of());
        private final DegradationController levels =
                new DegradationController(new DegradationPlan(), order);
        private final List<Call> calls = new ArrayList<>();
        private final DecayingShare starved = new DecayingShare(10 * S, 0);

        /** Of each worker, the share of errors among its last outcomes. */
        private final double[] errors = new double[WORKERS];

        Node(int me) {
            settings.me = me;
            balancer = new Balancer(settings, random.nextLong(), 0, this);
            balancer.list(
                    0,
                    ListKind.FULL,
                    workers.stream()
                            .map(
                                    w ->
                                            new EndpointEntry(
                                                    "" + w.number,
                                                    1,
                                                    EndpointState.READY,
                                                    "",
                                                    0,
                                                    0))
                            .toList());
            if (withLevels) {
                read();
            }
        }

        private void read() {
            double failing = Arrays.stream(errors).filter(e -> e > 0.3).count() / (double) WORKERS;
            levels.read(
                            new Readings(
                                    now,
                                    failing,
                                    day.reportAgeNs(),
                                    0,
                                    0,
                                    0,
                                    starved.share(now),
                                    0))
                    .ifPresent(changes::add);
            after(250 * MS, this::read);
        }

        void take(int kind) {
            asked[kind]++;
            RequestClass c = settings.classes.get(kind);
            if (withLevels && !levels.allowance().takes(c.name(), false, random.nextDouble())) {
                return;
            }
            Call call = new Call(kind, now);
            long id = calls.size();
            calls.add(call);
            after(
                    c.deadlineNs(),
                    () -> {
                        end(id, false);
                        balancer.gone(now, id);
                    });
            balancer.request(now, id, c.name(), 0, now + c.deadlineNs(), null, false, 0);
        }

        private void end(long id, boolean answered) {
            Call call = calls.get((int) id);
            if (!call.over) {
                call.over = true;
                RequestClass c = settings.classes.get(call.kind);
                served[call.kind] += answered && now - call.at <= c.latencyObjectiveNs() ? 1 : 0;
                if (order.isGuarded(c.name())) {
                    starved.count(
                            now, !answered || call.sentAt - call.at > c.latencyObjectiveNs() / 10);
                }
            }
        }

        @Override
        public void send(long id, long timeoutNs, long writtenBy, String endpoint) {
            Call call = calls.get((int) id);
            call.sentAt = call.sentAt < 0 ? now : call.sentAt;
            sent[Integer.parseInt(endpoint)]++;
            Worker w = workers.get(Integer.parseInt(endpoint));
            int attempt = call.attempts++;
            long at = now;
            boolean[] over = new boolean[1];
            long left =
                    call.at
                            + settings.classes.get(call.kind).deadlineNs()
                            + settings.responseSlackNs
                            - now;
            after(
                    timeoutNs > 0 ? timeoutNs : left,
                    () -> outcome(id, attempt, Outcome.TIMEOUT, at, over, w));
            after(
                    WIRE,
                    () -> {
                        if (w.fails()) {
                            after(2 * MS, () -> outcome(id, attempt, Outcome.ERROR, at, over, w));
                        } else if (w.queue.size() >= LONGEST_QUEUE) {
                            after(WIRE, () -> outcome(id, attempt, Outcome.REJECTED, at, over, w));
                        } else {
                            w.serve(
                                    () ->
                                            after(
                                                    WIRE,
                                                    () ->
                                                            outcome(
                                                                    id,
                                                                    attempt,
                                                                    Outcome.OK,
                                                                    at,
                                                                    over,
                                                                    w)));
                        }
                    });
        }

        private void outcome(
                long id, int attempt, Outcome outcome, long sentAt, boolean[] over, Worker w) {
            if (over[0]) {
                return;
            }
            over[0] = true;
            if (outcome != Outcome.REJECTED) {
                errors[w.number] += 0.1 * ((outcome == Outcome.OK ? 0 : 1) - errors[w.number]);
            }
            boolean answers = outcome == Outcome.OK && !calls.get((int) id).over;
            if (answers) {
                end(id, true);
            }
            balancer.outcome(now, id, attempt, outcome, now - sentAt, answers, w.report());
        }

        @Override
        public void refuse(long id, long retryAfterNs) {
            end(id, false);
        }

        @Override
        public void fail(long id) {
            end(id, false);
        }

        @Override
        public void timer(long delayNs, long token) {
            after(delayNs, () -> balancer.timer(now, token));
        }

        @Override
        public void cancel(long id, int attempt) {}

        @Override
        public void probe(String endpoint) {}

        @Override
        public void closeIdle(String endpoint) {}

        @Override
        public void tell(int peer, byte[] data) {}

        @Override
        public void watch(boolean on) {}

        @Override
        public void fetch() {}

        @Override
        public void log(String text) {}
    }
}
