package trailthread;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import trailthread.api.Admission;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
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
import trailthread.api.Tenant;
import trailthread.api.WeightMeaning;

/**
 * Every decision of one node. Settings, types, events and actions are declared in {@link
 * trailthread.api}. A state machine: time comes with the events, randomness from the seed. Not
 * thread-safe. In the order of a request's life: events in; lottery; gate; answers; list; what is
 * known.
 */
public final class Balancer implements BalancerEvents {
    /** Memory of the idle latency, in longest deadlines: minutes, as no jam must move it. */
    private static final double FLOOR_MEMORY = 300;

    /**
     * What a fresh report of service time weighs, in own answers: it rests on those to all nodes.
     */
    private static final double REPORT_ANSWERS = 5;

    /**
     * Least share of time for which an endpoint that turned this node away is tried: still often in
     * an aim.
     */
    private static final double LEAST_LIMIT = 1.0 / 16;

    /**
     * What open connections may cost of the goal: with many nodes each keeps to a part of the
     * endpoints.
     */
    private static final double CONNECTION_COST = 0.006;

    /**
     * Least endpoints to draw from, in fully warm ones: fewer could not stand in for one that
     * fails.
     */
    private static final double LEAST_PART = 3;

    /** The golden ratio's fraction: its multiples spread evenly, however many there are. */
    private static final double GOLDEN = 0.6180339887498949;

    /**
     * Uniform jitter of every timer, as a share of its length: enough to break step between nodes.
     */
    private static final double JITTER = 0.2;

    /**
     * Weight of a fresh report against the smoothed ones before it: two or three reports of memory.
     */
    private static final double REPORT_WEIGHT = 0.5;

    /** Share of a cold endpoint's spare budget that is used: half, as its capacity is a guess. */
    private static final double COLD_MARGIN = 0.5;

    /**
     * An endpoint is open while its predicted time is within this multiple of its idle latency...
     */
    private static final double OPEN_WITHIN_FLOOR = 1.8;

    /**
     * ...and within this share of the mean aim; but a far one, idle, is past that: it has this
     * multiple.
     */
    private static final double OPEN_WITHIN_AIM = 0.4, OPEN_FAR = 1.3;

    /**
     * An endpoint holds tickets while its predicted time is within this multiple of the best that
     * matters.
     */
    private static final double NEAR_BEST = 2;

    /**
     * A gap between answers of this many usual gaps means that the endpoint has slowed or stopped.
     */
    private static final double SILENT_GAPS = 3;

    /** What all nodes together start with at an endpoint: a few, so that its idle latency shows. */
    private static final double START_TOGETHER = 4;

    /**
     * What all nodes' limits at an endpoint grow by together in a latency; a whole one would
     * outweigh cuts.
     */
    private static final double GROWTH = 0.7;

    /**
     * The same on borrowed evidence, for the whole headroom: an unlucky start must end in seconds.
     */
    private static final double BORROWED_GROWTH = 5.6;

    /** Requests after which the counts of keys are halved: enough to tell a popular one's share. */
    private static final double KEYS_REMEMBERED = 1000;

    /** A home takes no more than this multiple of its fair part of what this node has out. */
    private static final double FAIR_PART = 1.5;

    /**
     * What one point of cross-zone price adds to a remote endpoint's predicted time, as a factor.
     */
    private static final double CROSS_ZONE_FACTOR = 20;

    /**
     * An endpoint that turned one away keeps this share of what this node had out there as its
     * limit.
     */
    private static final double FULL_CUT = 0.7;

    /**
     * An endpoint this many times slower than idle is jammed: past what the bound on its crowd
     * leaves open.
     */
    private static final double JAMMED = 2.5;

    /**
     * Its first rest, in longest deadlines: what it holds has then ended, and some idle time is
     * left.
     */
    private static final double REST_DEADLINES = 1.5;

    /** Outlier ejection: failures in a row that eject an endpoint; by chance, three are rare. */
    private static final int EJECT_AFTER = 3;

    /** Longest outlier ejection, in doublings of the tightest aim. */
    private static final int EJECT_DOUBLINGS = 5;

    /**
     * At most this share of the list may be ejected; past it the node itself is the likelier
     * culprit.
     */
    private static final double EJECT_MOST = 0.5;

    /**
     * Repeats of what may have run, as a share of requests: a failing fleet must not see its load
     * double.
     */
    private static final double RETRY_SHARE = 0.2;

    /**
     * A safe attempt is called off after this many of its endpoint's latencies: a few in a hundred
     * are.
     */
    private static final double PATIENCE = 5;

    /**
     * Where reports come only to probes, each endpoint is healthChecked once in this many mean
     * aims.
     */
    private static final double POLL_AIMS = 4;

    /** Most repeats saved up, in requests. */
    private static final double RETRY_SAVED = 20;

    /** Memory of what was asked and served, in longest deadlines: long against one request. */
    private static final double GOAL_MEMORY = 20;

    /** Held requests are looked at again this often, as a share of the tightest aim. */
    private static final double RELEASE_SHARE = 1.0 / 20;

    /** A list call that brings nothing is repeated after this share of the asking period. */
    private static final double ASK_AGAIN = 1.0 / 4;

    /**
     * So many calls a period all nodes begin with; in vain, half as many each time, to one in two.
     */
    private static final double FIRST_CALLS = 400, LAST_ASK_AGAIN = 2;

    /** What did not wait is repeated so soon; with jitter in 6 s, when news is due. */
    private static final double LEAST_SOON_NS = 1e9, ASK_SOON_NS = 5e9;

    /** While the list may not be used, requests wait for this share of their time. */
    private static final double WAITS_FOR_LIST = 1.0 / 4;

    /**
     * First calls, of a start or after a broken watch, are spread over this: some of the 6 s are
     * over.
     */
    private static final double ASK_FIRST_NS = 4.4e9;

    /** Kinds of timer, in the low bits of a token; the rest is the request's id. */
    private static final int TIMER_DEADLINE = 0, TIMER_ASK = 1, TIMER_RELEASE = 2, TIMER_POLL = 3;

    private static final int TIMER_BITS = 2;

    /** What staff are told of in the log. */
    private enum Note {
        EJECTED,
        RESTS,
        TURNED_AWAY,
        LIST_FAILED,
        MOST_FAIL
    }

    private Settings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;

    /** What the host allows for now; null: everything. */
    private Admission admission;

    private final Map<String, Party> classes = new LinkedHashMap<>(),
            tenants = new LinkedHashMap<>(),
            everyClass = new HashMap<>(); // also those that other settings had
    private final Map<Long, Request> requests = new HashMap<>();

    /** Held requests, a line for each class and tenant, within its quota or over it. */
    private final List<Line> lines = new ArrayList<>();

    private int held;
    private final Map<String, Endpoint> known = new HashMap<>();
    private final List<Endpoint> listed = new ArrayList<>();

    /** Those of the list that this node draws from: all, or its part of them. */
    private final List<Endpoint> mine = new ArrayList<>();

    /** Those with attempts out: of thousands, few. */
    private final Set<Endpoint> awaited = new LinkedHashSet<>();

    /** How many nodes draw from an endpoint, as far as this one can tell. */
    private double sharers = 1;

    /**
     * All answers together; what this node has out, and may have by the sum of rooms, rounded by
     * chance.
     */
    private final LatencyStats pool = new LatencyStats();

    /** What answers take beyond the service time that endpoints report. */
    private double waits;

    private double roomInAll = 1, outRounding;
    private long closedUntil, partAgainAt, coldAt, askSerial, askedAt = Long.MAX_VALUE;

    /** Nothing is sent by the list then or later. */
    private long listUsableUntil = Long.MAX_VALUE;

    /** What cold endpoints may be sent, in requests. */
    private double coldTokens;

    private double[] tickets = new double[16], predicted = new double[16];

    /** How often each key came of late, and all together. */
    private final Map<Long, Double> keySeen = new LinkedHashMap<>();

    private double keysSeen;
    private final DecayingCounter served, askedWorth;
    private long tightestAim, longestDeadline;
    private double retryTokens = RETRY_SAVED;

    /** Means of this node's requests; the aim by worth. */
    private double meanWork, meanLatency, meanAim, finest;

    private boolean releaseTimerSet, watching, polling;
    private int pollNext, failedCalls, out;
    private final long[] notedAt = new long[Note.values().length];

    /**
     * A {@link BalancerEvents#list} should follow; throws IllegalArgumentException that names a bad
     * setting.
     */
    public Balancer(Settings settings, long seed, long now, BalancerActions actions) {
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        retune(now, settings);
        meanAim = tightestAim;
        Arrays.fill(notedAt, now - longestDeadline);
        askedWorth = new DecayingCounter((long) (GOAL_MEMORY * longestDeadline), now);
        served = new DecayingCounter(settings.overloadWindowNs, now);
    }

    /**
     * Other settings hold from now on, if none is bad; what is known stays, requests keep their
     * class.
     */
    public void retune(long now, Settings to) {
        to.check();
        settings = to;
        finest = to.latencyResolutionNs();
        classes.clear();
        longestDeadline = 0;
        tightestAim = Long.MAX_VALUE;
        for (RequestClass c : to.classes) {
            longestDeadline = Math.max(longestDeadline, c.deadlineNs());
            tightestAim = Math.min(tightestAim, Math.max(to.tickNs, c.latencyObjectiveNs()));
        }
        long memory = (long) (GOAL_MEMORY * longestDeadline);
        for (RequestClass c : to.classes) {
            classes.put(
                    c.name(),
                    everyClass.merge(
                            c.name(),
                            new Party(c, null, memory, to.overloadWindowNs, now),
                            (had, fresh) -> had.rules.equals(c) ? had : fresh));
        }
        for (Tenant t : to.tenants) {
            tenants.merge(
                    t.name(),
                    new Party(null, t, memory, to.overloadWindowNs, now),
                    (had, fresh) -> had.tenant.equals(t) ? had : fresh);
        }
    }

    // ---- events
    // ------------------------------------------------------------------------------------

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
        Party c = everyClass.get(requestClass);
        if (c == null) {
            throw new IllegalArgumentException("classes: none is named " + requestClass);
        }
        long as = settings.keyAffinity && key != 0 ? spread(key) : key;
        Request r =
                new Request(
                        id,
                        c,
                        tenants.get(tenant),
                        as,
                        workNs,
                        now,
                        deadline,
                        settings.maxAttempts);
        requests.put(id, r);
        retryTokens = Math.min(RETRY_SAVED, retryTokens + RETRY_SHARE);
        if (workNs > 0) {
            meanWork += (meanWork == 0 ? 1 : 0.01) * (workNs - meanWork);
        }
        if (now >= partAgainAt) {
            choosePart(now);
        }
        appraise(r, now);
        if (admission != null && !admission.takes(requestClass, r.overQuota, random.nextDouble())) {
            giveUp(r);
            forget(r);
            return;
        }
        watch(r, now);
        if (held > 0) {
            hold(r, now);
            release(now);
        } else if (!place(r, now)) {
            hold(r, now);
        }
    }

    @Override
    public void admit(Admission admission) {
        this.admission = admission;
    }

    @Override
    public void listLeaseUntil(long now, long until) {
        listUsableUntil = until;
        release(now);
    }

    @Override
    public void firstByte(long now, long id, int attempt) {
        Request r = requests.get(id);
        if (r != null && !r.streaming && attempt >= 0 && attempt < r.sent) {
            r.streaming = true;
            leaves(
                    r,
                    attempt); // it passes on what is made: that holds up nobody who comes after it
            learnLatency(r.endpoints[attempt], r, attempt, now - r.sentAt[attempt], now);
        }
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
        Request r = requests.get(id);
        if (r == null || attempt < 0 || attempt >= r.sent || r.fate[attempt] != null) {
            return;
        }
        r.fate[attempt] = outcome;
        r.open--;
        Endpoint b = r.endpoints[attempt];
        b.unanswered -= leaves(r, attempt) ? 0 : Math.min(1, b.unanswered);
        if (load != null) {
            b.report(load, now);
        }
        learn(b, r, attempt, outcome, latency, now);
        if (outcome == Outcome.OK && closed && !r.ended) {
            double worth = now <= r.aimAt ? r.worth : r.worth * r.c.rules.lateWeightShare();
            r.c.served.count(now, worth);
            if (r.tenant != null) {
                r.tenant.served.count(now, worth);
            }
        }
        r.ended |= closed;
        if (!r.ended && !r.streaming && r.open == 0) {
            again(r, now);
        }
        forget(r);
        release(now);
    }

    @Override
    public void gone(long now, long id) {
        Request r = requests.get(id);
        if (r != null) {
            r.ended = true;
            forget(r);
        }
    }

    @Override
    public void timer(long now, long token) {
        switch ((int) (token & (1 << TIMER_BITS) - 1)) {
            case TIMER_DEADLINE -> {
                Request r = requests.get(token >>> TIMER_BITS);
                if (r != null && !r.ended && !r.streaming && !turnedAway(r, now)) {
                    watch(r, now);
                }
            }
            case TIMER_ASK -> {
                if (token >>> TIMER_BITS == askSerial && !watching) {
                    ask(now);
                }
            }
            case TIMER_POLL -> poll(now);
            default -> { // TIMER_RELEASE
                releaseTimerSet = false;
                release(now);
            }
        }
    }

    @Override
    public void healthChecked(
            long now, String endpoint, Outcome outcome, long latency, LoadReport load) {
        Endpoint b = known.get(endpoint);
        if (b != null && load != null) {
            b.report(load, now);
        }
    }

    /** What comes after an attempt that did not serve: another, a wait, or the final answer. */
    private void again(Request r, long now) {
        boolean mayHaveRun = r.firstThatMayHaveRun() >= 0;
        if (!permits(r, now) || (mayHaveRun && retryTokens < 1)) {
            giveUp(r);
            return;
        }
        retryTokens -= mayHaveRun ? 1 : 0;
        if (!place(r, now)) {
            hold(r, now);
        }
    }

    /** What has ended, or seems lost, leaves the correction; whether it had not before. */
    private boolean leaves(Request r, int attempt) {
        int one = r.lost[attempt] ? 0 : 1;
        Endpoint b = r.endpoints[attempt];
        r.lost[attempt] = true;
        b.outstanding -= one;
        b.sentSince = Math.max(0, b.sentSince - one);
        out -= one;
        return one > 0;
    }

    /**
     * Danger: attempts whose answers are lost would fill limits, and make their endpoints look
     * frozen, until their clients quit. What is out for long counts no more if a later one has
     * overtaken it; else, with no other open, it leaves room for a safe trial, and where that gets
     * no answer either, twice as long after.
     */
    private void letLostGo(Endpoint b, long now) {
        for (Sent s = b.sent.peek(); s != null; s = b.sent.peek()) {
            if (s.r.fate[s.attempt] == null) {
                long at = s.r.sentAt[s.attempt];
                boolean overtaken = at < b.newestAnswered;
                // a giant may be overtaken, too, and has more time
                int doublings = overtaken ? 0 : Math.min(b.unanswered, EJECT_DOUBLINGS);
                double known = Math.max(b.latency, meanLatency);
                double usual =
                        Math.max(
                                known,
                                finest); // workers of a millisecond are not silent after three
                if (known == 0
                        || now - at < (overtaken ? PATIENCE : JAMMED) * usual * (1 << doublings)) {
                    return;
                }
                b.unanswered += leaves(s.r, s.attempt) && !overtaken ? 1 : 0;
            }
            b.sent.remove();
        }
    }

    /** Takes in how an attempt ended: latency, refusals, failures. */
    private void learn(
            Endpoint b, Request r, int attempt, Outcome outcome, long latency, long now) {
        b.lastSign = now;
        switch (outcome) {
            case OK -> {
                served.count(now, 1);
                b.newestAnswered = Math.max(b.newestAnswered, r.sentAt[attempt]);
                b.unanswered = 0;
                b.failures = 0;
                b.trust += LatencyStats.LATENCY_WEIGHT * (1 - b.trust);
                if (!r.streaming
                        && latency >= 0) { // a stream's length says nothing; its beginning did
                    learnLatency(b, r, attempt, latency, now);
                }
            }
            case REJECTED -> {
                // Danger: a full endpoint answers at once and so wins the next draw; refusing costs
                // it work.
                b.limit = Math.max(leastLimit(), FULL_CUT * Math.min(b.limit, b.outstanding + 1));
            }
            case ERROR, TIMEOUT, RESET, CONNECT_FAILED -> {
                b.trust -= LatencyStats.LATENCY_WEIGHT * b.trust;
                b.failures++;
                // Dangers: in a jam nothing else comes back; but the first in a row may be one lost
                // answer.
                if (outcome == Outcome.TIMEOUT
                        && b.failures > 1
                        && r.sentAt[attempt] > b.newestAnswered) {
                    took(b, r.outAtSend[attempt], latency, now);
                }
                if (b.failures >= EJECT_AFTER) {
                    int doublings = Math.min(b.failures - EJECT_AFTER, EJECT_DOUBLINGS);
                    b.ejectedUntil = now + jittered((double) tightestAim * (1 << doublings));
                    if (due(Note.EJECTED, now)) {
                        actions.log(
                                "ejected " + b.name + " after failures in a row: " + b.failures);
                    }
                }
            }
            default -> {
                // a cancelled attempt, or one never sent, tells nothing of its endpoint
            }
        }
        rest(b, now);
    }

    private void learnLatency(Endpoint b, Request r, int attempt, long latency, long now) {
        double size = r.workNs > 0 && meanWork > 0 ? 0.5 + 0.5 * r.workNs / meanWork : 1;
        if (b.reportedAt == now) {
            waits += (waits == 0 ? 1 : LatencyStats.LATENCY_WEIGHT) * (latency / size - b.reported - waits);
        }
        took(b, r.outAtSend[attempt], latency / size, now);
        meanLatency +=
                (meanLatency == 0 ? 1 : LatencyStats.LATENCY_WEIGHT / 4) * (latency / size - meanLatency);
        r.c.latency += (r.c.latency == 0 ? 1 : LatencyStats.LATENCY_WEIGHT / 4) * (latency - r.c.latency);
    }

    private void took(Endpoint b, int outAtSend, double latency, long now) {
        b.took(latency, outAtSend, meanAim, FLOOR_MEMORY * longestDeadline, now);
        pool.took(latency, outAtSend, meanAim, FLOOR_MEMORY * longestDeadline, now);
        steer(b, now);
        restIfJammed(b, now);
    }

    /**
     * Danger: with many nodes, one request from each is already too much for an endpoint. Rooms
     * under one are pooled: they bound what this node has out in all; where that is under one too,
     * it rests in between. None at all is no reason: no endpoint is ready, and the next one that is
     * may be sent to at once.
     */
    private void rest(Endpoint b, long now) {
        b.rounding = random.nextDouble();
        outRounding = random.nextDouble();
        addRooms(now);
        if (roomInAll > 0 && roomInAll < 1 && out == 0) {
            double latency =
                    pool.latency > 0 ? Math.min(pool.latency, meanAim) : meanAim * OPEN_WITHIN_AIM;
            closedUntil = now + jittered(latency * (1 / Math.max(roomInAll, LEAST_LIMIT) - 1));
        }
    }

    /**
     * What this node may have out in all. Danger: were the room of endpoints that take nothing lent
     * to the rest, all nodes would pour it on the few that look free.
     */
    private void addRooms(long now) {
        roomInAll = 0;
        boolean trustAll = tooManyEjected(0);
        for (int i = 0; i < mine.size(); i++) {
            Endpoint b = mine.get(i);
            if (b.state == EndpointState.READY
                    && (trustAll || (b.failures < EJECT_AFTER && b.rests == 0))) {
                roomInAll += b.coldness(settings, now) * room(b, pace(b, now));
            }
        }
    }

    /**
     * Moves this node's limits so that latency stays within bounds. Danger: a bound computed from
     * latency alone lets the crowd grow with the root of the number of nodes; cut and raised step
     * by step, each node ends where the latency is right, however many share an endpoint. Where an
     * endpoint's own answers are few, all answers move its limit, less the noise of their mean: a
     * crowd tips endpoints long before each node hears from each.
     */
    private void steer(Endpoint b, long now) {
        boolean used = out + 2 > roomInAll; // it was in use, rounded down
        double noise = Math.exp(-Math.sqrt(pool.variance * LatencyStats.LATENCY_WEIGHT));
        for (int i = 0; i < mine.size(); i++) {
            Endpoint other = mine.get(i);
            double excess = noise * latency(other, now) / mostLatency(other) - 1;
            double borrowed = LatencyStats.BORROWED / (LatencyStats.BORROWED + other.recent(now, meanAim));
            borrowed = other == b ? 0 : borrowed * borrowed;
            if (excess > 0) {
                other.limit =
                        Math.max(leastLimit(), other.limit * (1 - Math.min(1, excess) * borrowed));
            } else if (used) {
                double spread = sharers * Math.max(1 / START_TOGETHER, roomInAll);
                other.limit += BORROWED_GROWTH * -excess * borrowed / spread;
            }
        }
        double excess = latency(b, now) / mostLatency(b) - 1;
        if (excess > 0) {
            double held = Math.min(b.limit, Math.max(b.outstanding, b.depth) + 1);
            b.limit =
                    Math.max(leastLimit(), held * (1 - LatencyStats.LATENCY_WEIGHT * Math.min(1, excess)));
        } else if (b.outstanding + 2 > b.limit || used) {
            b.limit += GROWTH / (sharers * Math.max(1 / START_TOGETHER, b.limit));
        }
    }

    /**
     * Danger: an endpoint that was crowded stays slow until it has been nearly idle for a while. It
     * rests, then gets single trials, each slow one doubling the rest; never more than half of the
     * list at once.
     */
    private void restIfJammed(Endpoint b, long now) {
        if (b.floor == 0 || latency(b, now) <= JAMMED * Math.max(b.floor, finest)) {
            b.rests = 0;
        } else if (now >= b.ejectedUntil && (b.rests > 0 || !tooManyEjected(1))) {
            b.ejectedUntil =
                    now + jittered(REST_DEADLINES * longestDeadline * (1 << Math.min(b.rests, 2)));
            b.rests++;
            if (due(Note.RESTS, now)) {
                actions.log(
                        "resting "
                                + b.name
                                + ": jammed, idle latencies per answer "
                                + Math.round(latency(b, now) / b.floor));
            }
            b.limit = Math.min(b.limit, START_TOGETHER / sharers);
        }
    }

    private double leastLimit() {
        return Math.min(LEAST_LIMIT, 1 / sharers);
    }

    private double mostLatency(Endpoint b) {
        double idle = Math.max(b.floor > 0 ? b.floor : pool.floor, finest);
        double most = Math.max(OPEN_WITHIN_AIM * meanAim, OPEN_FAR * idle);
        return b.floor > 0 ? Math.min(most, OPEN_WITHIN_FLOOR * idle) : most;
    }

    /**
     * Its latency, by its own answers as far as they are many and fresh, by the service time that
     * it reports (it rests on answers to all nodes) and by all endpoints. Danger: by few own
     * answers a crowd is seen too late.
     */
    private double latency(Endpoint b, long now) {
        if (pool.latency == 0) {
            return b.latency;
        }
        if (b.answers == 0 && b.reportedAt == 0) {
            return pool.latency; // of thousands, most have told nothing
        }
        double own = b.recent(now, meanAim);
        double sum = own * b.logLatency + LatencyStats.BORROWED * (pool.logLatency + b.slowness(pool));
        double count = own + LatencyStats.BORROWED;
        if (b.reportedAt > 0) {
            double age = (now - b.reportedAt) / (LatencyStats.LATENCY_MEMORY_AIMS * meanAim);
            double told = REPORT_ANSWERS * Math.exp(-age) * LatencyStats.BORROWED / count;
            sum += told * Math.log(Math.max(1, waits + b.reported));
            count += told;
        }
        return Math.exp(sum / count);
    }

    /**
     * How many this node may have out at an endpoint at a time; below one, for what share of the
     * time.
     */
    private double room(Endpoint b, double pace) {
        return Math.min(b.limit, mostLatency(b) / pace);
    }

    // ---- lottery
    // -----------------------------------------------------------------------------------

    /** Draws an endpoint for the request among those that the gate permits, and sends it there. */
    private boolean place(Request r, long now) {
        if (now >= listUsableUntil) {
            return false;
        }
        boolean trustAll = tooManyEjected(0);
        if (trustAll && due(Note.MOST_FAIL, now)) {
            actions.log(
                    "ejecting none: most of "
                            + mine.size()
                            + " backends fail; is this node cut off?");
        }
        if (!permits(r, now)) {
            return false;
        }
        fillColdBudget(now);
        awaited.forEach(b -> letLostGo(b, now));
        awaited.removeIf(b -> b.sent.isEmpty());
        boolean lenient = r.sent > 0 && now - r.sentAt[r.sent - 1] > tightestAim / 8;
        double best = Double.MAX_VALUE;
        for (int i = 0; i < mine.size(); i++) {
            Endpoint b = mine.get(i);
            predicted[i] = Double.MAX_VALUE;
            if (suits(r, b, now) && (lenient || !r.tried(b)) && (trustAll || healthy(b, r, now))) {
                double pace = pace(b, now); // once: of thousands, each step counts
                if (open(b, room(b, pace), now)) {
                    predicted[i] = predicted(b, pace);
                    best = Math.min(best, predicted[i]);
                }
            }
        }
        if (best == Double.MAX_VALUE || now + meanLatency / 2 > r.deadline) {
            return false;
        }
        int home = settings.keyAffinity && r.key != 0 ? findHome(r.key) : -1;
        double total = 0, most = NEAR_BEST * Math.max(best, finest);
        for (int i = 0; i < mine.size(); i++) {
            tickets[i] = 0;
            if (home < 0 ? predicted[i] <= most : i == home) {
                double share =
                        home < 0 ? Math.min(1, room(mine.get(i), pace(mine.get(i), now))) : 1;
                tickets[i] = share * tickets(mine.get(i), predicted[i], now);
                total += tickets[i];
            }
        }
        double draw = random.nextDouble() * total;
        int winner = -1;
        for (int i = 0; i < mine.size() && draw >= 0; i++) {
            winner = tickets[i] > 0 ? i : winner;
            draw -= tickets[i];
        }
        send(r, mine.get(winner), now);
        return true;
    }

    /**
     * The lottery: tickets inversely proportional to one more than the queue and the own sends,
     * told in time. Cold: in step with what it can do by now. Trust: an erring endpoint is fast and
     * short of queue. Room under one: what this node may send it is less than one at a time.
     */
    private double tickets(Endpoint b, double predicted, long now) {
        return b.coldness(settings, now) * b.trust * b.trust / predicted;
    }

    /**
     * Warm keys: the draw is kept to the first endpoint in an order that is the key's own at every
     * node (rendezvous hashing by listed size); one that is not open, or holds over its fair part
     * of this node's requests, is passed over for the next. Dangers: spilled at random, a key meets
     * every endpoint cold and drives other keys out; without the fair part, popular keys make hot
     * spots.
     */
    private int findHome(long key) {
        boolean sized =
                settings.weights == WeightMeaning.NOMINAL
                        || settings.weights == WeightMeaning.ROUGH;
        double out = 1;
        double sizes = 0;
        for (int i = 0; i < mine.size(); i++) {
            if (predicted[i] < Double.MAX_VALUE) {
                out += mine.get(i).outstanding;
                sizes += mine.get(i).size(sized);
            }
        }
        int home = -1;
        double first = -1;
        for (int i = 0; i < mine.size(); i++) {
            Endpoint b = mine.get(i);
            if (predicted[i] < Double.MAX_VALUE
                    && b.outstanding < FAIR_PART * out * b.size(sized) / sizes) {
                double unit = ((mix(key ^ b.hash) >>> 11) + 0.5) * 0x1p-53;
                double score = b.size(sized) / -Math.log(unit);
                home = score > first ? i : home;
                first = Math.max(first, score);
            }
        }
        return home;
    }

    /**
     * A popular key counts as several keys, each with its own home. Danger: where hundreds of nodes
     * send to a key's home, no node's own part of it tells that all together are too many.
     */
    private long spread(long key) {
        double seen = keySeen.merge(key, 1.0, Double::sum);
        if (++keysSeen > KEYS_REMEMBERED) {
            keysSeen /= 2;
            keySeen.replaceAll((k, count) -> count / 2);
            keySeen.values().removeIf(count -> count < 1);
        }
        double surely = Math.max(0, seen - Math.sqrt(seen)) / keysSeen;
        int homes = (int) Math.ceil(surely * mine.size() / FAIR_PART);
        return homes <= 1 ? key : mix(key + random.nextInt(homes));
    }

    /** Spreads the bits of a number evenly (the finaliser of splitmix64). */
    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /**
     * Time that one more request would take there: its place in the line, times the endpoint's
     * pace.
     */
    private double predicted(Endpoint b, double pace) {
        double far =
                b.zone.equals(settings.zone) ? 1 : 1 + CROSS_ZONE_FACTOR * settings.crossZonePrice;
        if (settings.weights == WeightMeaning.LIVE && b.idleWeight > 0) {
            far /= b.idleWeight;
        }
        return (1 + b.load()) * pace * far;
    }

    /**
     * Time per place in line, from the answers; longer when answers are overdue (it froze, or lost
     * them).
     */
    private double pace(Endpoint b, long now) {
        if (b.latency == 0) {
            return Math.max(1, meanLatency);
        }
        double latency = latency(b, now);
        if (b.outstanding + b.unanswered > 0) {
            return Math.max(latency / (1 + b.depth), (now - b.lastSign) / SILENT_GAPS);
        }
        double idle = b.floor > 0 ? b.floor : pool.floor;
        if (latency > idle && idle > 0 && now - b.lastSign > longestDeadline / 2) {
            // Danger: what once looked slow is drawn no more, and so looks slow for ever: forget it
            // in time.
            double kept = Math.exp(-(double) (now - b.lastSign) / longestDeadline);
            latency = idle + (latency - idle) * kept;
        }
        return latency / (1 + b.depth);
    }

    /**
     * Whether the endpoint takes more for now. Danger: past a point a crowded server only slows,
     * and stays slow; and what has been sent can no longer be refused. What finds none open is held
     * here.
     */
    private boolean open(Endpoint b, double room, long now) {
        return now >= closedUntil
                && (out == 0 || out + outRounding < roomInAll)
                && (b.outstanding == 0
                        || (b.tellsQueue ? b.smoothed : 0) + b.outstanding + b.rounding < room);
    }

    /** Not ejected as an outlier; after that, half-open: one safe trial at a time. */
    private boolean healthy(Endpoint b, Request r, long now) {
        if (b.failures < EJECT_AFTER && b.rests == 0) {
            return b.unanswered == 0 || r.c.rules.idempotency() == Idempotency.IDEMPOTENT;
        }
        return now >= b.ejectedUntil
                && b.outstanding == 0
                && r.c.rules.idempotency() == Idempotency.IDEMPOTENT;
    }

    /**
     * Danger: a node that is itself cut off sees every endpoint fail; it must not eject them all.
     */
    private boolean tooManyEjected(int more) {
        int ejected = more, ready = 0;
        for (int i = 0; i < mine.size(); i++) {
            Endpoint b = mine.get(i);
            ready += b.state == EndpointState.READY ? 1 : 0;
            ejected +=
                    b.state == EndpointState.READY && (b.failures >= EJECT_AFTER || b.rests > 0)
                            ? 1
                            : 0;
        }
        return ejected > EJECT_MOST * ready;
    }

    // ---- gate
    // --------------------------------------------------------------------------------------

    private void send(Request r, Endpoint b, long now) {
        long writtenBy = Math.min(r.deadline, r.repeatedBy());
        r.endpoints[r.sent] = b;
        r.sentAt[r.sent] = now;
        r.outAtSend[r.sent] = b.outstanding;
        b.lastSign = b.outstanding + b.unanswered == 0 ? now : b.lastSign;
        r.sent++;
        r.open++;
        b.sent.add(new Sent(r, r.sent - 1));
        awaited.add(b);
        b.outstanding++;
        out++;
        b.sentSince++;
        coldTokens -= b.coldness(settings, now) < 1 ? 1 : 0;
        actions.send(r.id, patience(r, b, now), writtenBy, b.name);
    }

    /**
     * An attempt's time-out; 0: until the client quits. Danger: a black hole accepts and never
     * answers, and holds a request to its end. Only what is safe to repeat, may be repeated by the
     * budget, and still has time for another attempt is called off early; anything else would be
     * given up for nothing.
     */
    private long patience(Request r, Endpoint b, long now) {
        if (r.c.rules.idempotency() != Idempotency.IDEMPOTENT
                || r.sent >= r.most(settings)
                || retryTokens < 1) {
            return 0;
        }
        double size = r.workNs > 0 && meanWork > 0 ? Math.max(1, r.workNs / meanWork) : 1;
        double patience = PATIENCE * Math.max(b.latency, Math.max(meanLatency, finest)) * size;
        return meanLatency > 0 && now + patience + 2 * meanLatency < r.deadline
                ? (long) patience
                : 0;
    }

    /** Whether an attempt may go to any endpoint at all now. */
    private boolean permits(Request r, long now) {
        return !r.ended
                && !r.streaming
                && r.sent < r.most(settings)
                && now < r.deadline
                && (r.open == 0 || settings.mayHedge)
                && now + settings.connectTimeoutNs < r.repeatedBy();
    }

    /** Whether an attempt that is permitted may go to this endpoint. */
    private boolean suits(Request r, Endpoint b, long now) {
        return b.state == EndpointState.READY
                && r.droppedBy(b)
                && (coldTokens >= 1 || b.coldness(settings, now) >= 1);
    }

    /**
     * Fills the bucket that cold endpoints share with this node's sure part of what they bear.
     * Dangers: one at a time from each of hundreds of nodes pushes one over; were there a bucket
     * for each, most would be full while the lottery is elsewhere. Capacity is taken from what
     * endpoints serve to this node; over all nodes that adds up to no more than the true one,
     * however traffic is split. A new one brings a part by chance, as it is announced to all nodes
     * at once.
     */
    private void fillColdBudget(long now) {
        double all = 0, cold = 0, count = 0;
        for (Endpoint b : mine) {
            double share = b.coldness(settings, now);
            all += share;
            cold += share < 1 ? share : 0;
            count += share < 1 ? 1 : 0;
        }
        double capacity = served.inSpan(now) / settings.overloadWindowNs / Math.max(1, all);
        double rate =
                Math.max(
                        COLD_MARGIN * settings.overloadMultiple * cold * capacity,
                        count / (sharers * meanAim));
        coldTokens = Math.min(count, coldTokens + rate * (now - coldAt));
        coldAt = now;
    }

    // ---- answers
    // -----------------------------------------------------------------------------------

    /**
     * The final answer for a request that cannot be served: a refusal where permitted, else a
     * failure.
     */
    private void giveUp(Request r) {
        r.ended = true;
        if (mayRefuse(r)) {
            long stayAway = jittered(settings.maxRetryAfterNs / (1 + JITTER));
            actions.refuse(
                    r.id, settings.retryAfter ? stayAway : 0); // repeats at once would feed the jam
        } else {
            actions.fail(r.id);
        }
    }

    private static boolean mayRefuse(Request r) {
        return r.c.rules.idempotency() == Idempotency.IDEMPOTENT
                || r.firstThatMayHaveRun() < 0
                || (r.c.rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && r.c.rules.deduplicationScope() == DeduplicationScope.ALL);
    }

    private void hold(Request r, long now) {
        if (!turnedAway(r, now)) {
            watch(r, now);
            lineOf(r).requests.addLast(r);
            held++;
            setReleaseTimer();
        }
    }

    private void watch(Request r, long now) {
        actions.timer(lastSend(r, now) - now, (r.id << TIMER_BITS) | TIMER_DEADLINE);
    }

    /**
     * Answers a request that is not to be sent any more. Danger: held on until its deadline, it
     * would cost its client the time in which to come back.
     */
    private boolean turnedAway(Request r, long now) {
        if (now < lastSend(r, now)) {
            return false;
        }
        if (held > 0 && due(Note.TURNED_AWAY, now)) {
            actions.log("turning requests away: no backend is open, held " + held);
        }
        giveUp(r);
        forget(r);
        return true;
    }

    /**
     * Until when one that is held is to be sent: past its aim it may earn nothing. One sent has its
     * time.
     */
    private long lastSend(Request r, long now) {
        RequestClass c = r.c.rules;
        if (r.open > 0) {
            return r.deadline;
        }
        long last = (c.lateWeightShare() > 0 ? r.deadline : r.aimAt) - (long) (meanLatency / 2);
        if (now >= listUsableUntil) {
            last =
                    Math.min(
                            last,
                            r.arrivedAt + (long) (WAITS_FOR_LIST * (r.deadline - r.arrivedAt)));
        }
        return Math.min(last, r.repeatedBy() - settings.connectTimeoutNs);
    }

    private Line lineOf(Request r) {
        for (int i = 0; i < lines.size(); i++) {
            Line l = lines.get(i);
            if (l.c == r.c
                    && l.tenant == r.tenant
                    && l.over == r.overQuota
                    && l.again == r.sent > 0) {
                return l;
            }
        }
        Line l = new Line(r.c, r.tenant, r.overQuota, r.sent > 0, new ArrayDeque<>());
        lines.add(l);
        return l;
    }

    private void setReleaseTimer() {
        if (!releaseTimerSet) {
            releaseTimerSet = true;
            actions.timer(
                    jittered(Math.max(settings.tickNs, RELEASE_SHARE * tightestAim)),
                    TIMER_RELEASE);
        }
    }

    /**
     * Sends held requests while any endpoint is open to them: from the line whose newest request
     * adds most to the goal for its work. Newest first, as under overload the oldest are the
     * likeliest to come too late.
     */
    private void release(long now) {
        if (held == 0) {
            return;
        }
        List<ArrayDeque<Request>> blocked = new ArrayList<>(); // told apart by identity
        double whole = (settings.goalWhole + settings.goalWorstWindow) / askedWorth.inSpan(now);
        Party worstClass = worst(classes, now);
        Party worstTenant = worst(tenants, now);
        double ofClass =
                worstClass == null ? 0 : settings.goalWorstClass / worstClass.asked.inSpan(now);
        double ofTenant =
                worstTenant == null ? 0 : settings.goalWorstTenant / worstTenant.asked.inSpan(now);
        while (true) {
            Line best = null;
            double most = -1;
            for (int i = 0; i < lines.size(); i++) {
                Line l = lines.get(i);
                trim(l, now);
                if (!blocked.contains(l.requests) && !l.requests.isEmpty()) {
                    double part = whole + (l.c == worstClass ? ofClass : 0);
                    part += l.tenant != null && l.tenant == worstTenant ? ofTenant : 0;
                    double value = part * worthPerWork(l.requests.peekLast(), now);
                    if (value > most) {
                        most = value;
                        best = l;
                    }
                }
            }
            if (best == null) {
                break;
            }
            if (place(best.requests.peekLast(), now)) {
                best.requests.removeLast();
                held--;
            } else if (!best.again && best.c.rules.idempotency() == Idempotency.IDEMPOTENT) {
                break; // no endpoint is open to the least bound of requests
            } else {
                blocked.add(best.requests);
            }
        }
        if (held > 0) {
            setReleaseTimer();
        }
    }

    /** Drops what is over from both ends of a line, and what can no longer be answered in time. */
    private void trim(Line l, long now) {
        while (!l.requests.isEmpty() && l.requests.peekFirst().ended) {
            l.requests.removeFirst();
            held--;
        }
        while (!l.requests.isEmpty()
                && (l.requests.peekLast().ended || turnedAway(l.requests.peekLast(), now))) {
            l.requests.removeLast();
            held--;
        }
    }

    /** Counts the request as asked, and what serving it would be worth. */
    private void appraise(Request r, long now) {
        RequestClass c = r.c.rules;
        double work = r.workNs > 0 && meanWork > 0 ? r.workNs / meanWork : 1;
        r.worth = c.priorityWeight() * (settings.weightByWork ? work : 1);
        if (r.tenant != null && !r.tenant.withinQuota(settings.nodes, now)) {
            r.worth *= settings.overQuotaWeight;
            r.overQuota = true;
        } else if (r.tenant != null) {
            r.tenant.asked.count(now, r.worth);
        }
        double asked = askedWorth.inSpan(now);
        meanAim +=
                Math.max(0.001, r.worth / (asked + r.worth)) * (c.latencyObjectiveNs() - meanAim);
        r.c.asked.count(now, r.worth);
        askedWorth.count(now, r.worth);
    }

    /** Its worth now, by the chance that it still makes its aim, for each unit of work. */
    private double worthPerWork(Request r, long now) {
        double left = Math.max(0, r.aimAt - now) / Math.max(1, meanLatency);
        double chance = left * left * left / (1 + left * left * left);
        double late = r.c.rules.lateWeightShare();
        boolean hinted = r.workNs > 0 && meanWork > 0;
        double work =
                hinted ? r.workNs / meanWork : Math.max(1, r.c.latency) / Math.max(1, meanLatency);
        return r.worth * (late + (1 - late) * chance) / work;
    }

    private static Party worst(Map<String, Party> parties, long now) {
        return parties.values().stream()
                .filter(p -> p.asked.inSpan(now) > 0)
                .min(Comparator.comparingDouble(p -> p.served.inSpan(now) / p.asked.inSpan(now)))
                .orElse(null);
    }

    private void forget(Request r) {
        if (r.ended && r.open == 0) {
            requests.remove(r.id);
        }
    }

    /** At most one line of a kind in a longest deadline: trouble must not flood the log. */
    private boolean due(Note note, long now) {
        boolean due = now - notedAt[note.ordinal()] >= longestDeadline;
        notedAt[note.ordinal()] = due ? now : notedAt[note.ordinal()];
        return due;
    }

    private long jittered(double delay) {
        return (long) (delay * (1 + JITTER * (2 * random.nextDouble() - 1)));
    }

    // ---- list
    // --------------------------------------------------------------------------------------

    @Override
    public void list(long now, ListKind kind, List<EndpointEntry> entries) {
        // Danger: a fleet that calls in step keeps the list from most of its nodes: waits in vain
        // cost, too.
        double period = settings.pollIntervalNs, spread = settings.nodes / FIRST_CALLS * period;
        double waited = askedAt == Long.MAX_VALUE ? 0 : now - askedAt;
        askedAt = Long.MAX_VALUE;
        if (kind == ListKind.FAILED) {
            double slower =
                    Math.min(LAST_ASK_AGAIN * period, spread * (1 << Math.min(failedCalls, 16)));
            // At a fixed pace from call to call, the first in vain too: whenever discovery comes
            // back, all
            // nodes' calls come evenly over it.
            double most = watching ? ASK_FIRST_NS : ASK_SOON_NS;
            double soon = Math.min(Math.max(4 * spread, LEAST_SOON_NS), most);
            boolean inVain = waited > ListLease.QUEUED_NS, slows = inVain && failedCalls > 0;
            double share = slows ? 0.5 + random.nextDouble() : watching ? random.nextDouble() : 1;
            askAgainIn(slows ? share * slower : Math.max(0, share * soon - waited));
            failedCalls += inVain ? 1 : 0;
            watching = false;
            if (due(Note.LIST_FAILED, now)) {
                actions.log("list call failed: going on with the last list of " + listed.size());
            }
            return;
        }
        fillColdBudget(now);
        if (kind != ListKind.DELTA) {
            listed.forEach(b -> b.state = EndpointState.GONE);
        }
        boolean restarted = false;
        for (EndpointEntry e : entries) {
            restarted |= apply(e, now);
        }
        if (restarted) {
            listed.replaceAll(b -> known.get(b.name));
        }
        listed.removeIf(b -> b.state == EndpointState.GONE && known.remove(b.name, b));
        choosePart(now);
        tickets = Arrays.copyOf(tickets, Math.max(tickets.length, listed.size()));
        predicted = Arrays.copyOf(predicted, tickets.length);
        watching = kind != ListKind.CACHED;
        failedCalls = watching ? 0 : failedCalls;
        if (settings.listIsPolled && !watching) {
            double others = 4 * (spread - spread / settings.nodes); // a node alone need not wait
            askAgainIn(random.nextDouble() * Math.min(others, ASK_FIRST_NS) / (1 + JITTER));
        }
        if (!polling && settings.mayCheckHealth && settings.reports == LoadReportSource.PROBES) {
            polling = true;
            poll(now);
        }
        addRooms(now);
        release(now);
    }

    /**
     * Chooses the endpoints that this node draws from. Danger: hundreds of nodes connected to every
     * endpoint fill their tables, and answers from any one are too rare to learn from. Each zone's
     * endpoints form a ring by hash; from its own place on, a node takes as many as hold its part
     * of fully warm ones that are fit.
     */
    private void choosePart(long now) {
        double price = settings.connectionPrice;
        double most = price > 0 ? 100 * CONNECTION_COST / price : settings.nodes;
        double part = Math.max(LEAST_PART, most * listed.size() / settings.nodes);
        boolean all = part >= listed.size();
        mine.clear();
        mine.addAll(all ? listed : List.of());
        List<Endpoint> ring = new ArrayList<>(all ? List.of() : listed);
        ring.sort(Comparator.comparing((Endpoint b) -> b.zone).thenComparingLong(b -> b.hash));
        for (int from = 0, to; from < ring.size(); from = to) {
            to = from;
            while (to < ring.size() && ring.get(to).zone.equals(ring.get(from).zone)) {
                to++;
            }
            int count = to - from;
            int place = (int) (GOLDEN * (settings.me + 1) % 1 * count);
            double wanted = Math.max(1, part * count / ring.size());
            for (int i = 0; i < count && wanted > 0.5; i++) {
                Endpoint b = ring.get(from + (place + i) % count);
                mine.add(b);
                boolean slow = b.rests > 0 || latency(b, now) > JAMMED * pool.latency;
                boolean fit = b.state == EndpointState.READY && b.failures < EJECT_AFTER && !slow;
                wanted -= fit ? b.coldness(settings, now) : 0;
            }
        }
        partAgainAt = now + jittered(longestDeadline);
        sharers = Math.max(1, (double) settings.nodes * mine.size() / Math.max(1, listed.size()));
        for (Endpoint b : mine) {
            double few =
                    START_TOGETHER
                            / sharers; // up to twice that where this node could not have one out
            b.limit = b.limit > 0 ? b.limit : Math.max(few, Math.min(2 * few, 1.0 / mine.size()));
        }
    }

    /**
     * Takes in one entry; whether it replaces one that is listed, as its endpoint has restarted.
     */
    private boolean apply(EndpointEntry e, long now) {
        Endpoint b = known.get(e.endpoint());
        if (b == null && e.state() == EndpointState.GONE) {
            return false;
        }
        boolean restarted =
                b != null && e.readyAtNs() != b.readyAt && e.state() == EndpointState.READY;
        if (b == null || restarted) {
            Endpoint fresh = new Endpoint(e.endpoint());
            known.put(fresh.name, fresh);
            if (b == null) {
                listed.add(fresh);
            }
            b = fresh;
            coldTokens +=
                    e.readyAtNs() > Math.max(0, now - settings.slowStartNs)
                            ? random.nextDouble()
                            : 0;
        }
        b.apply(e);
        return restarted;
    }

    /** Probes the next warm endpoint in turn. */
    private void poll(long now) {
        if (!listed.isEmpty()) {
            Endpoint b = listed.get(pollNext++ % listed.size());
            if (b.state == EndpointState.READY && b.coldness(settings, now) >= 1) {
                actions.probe(b.name);
            }
        }
        double period = POLL_AIMS * meanAim / Math.max(1, listed.size());
        actions.timer(jittered(Math.max(settings.tickNs, period)), TIMER_POLL);
    }

    private void ask(long now) {
        askedAt = Math.min(askedAt, now);
        actions.watch(true);
        askAgainIn(ASK_AGAIN * settings.pollIntervalNs);
    }

    private void askAgainIn(double delay) {
        actions.timer(jittered(delay), (++askSerial << TIMER_BITS) | TIMER_ASK);
    }

    /** How many of the list are not drawn for now: they drain, are ejected or rest. */
    public int avoided(long now) {
        boolean trustAll = tooManyEjected(0);
        return (int)
                listed.stream()
                        .filter(
                                b ->
                                        b.state != EndpointState.READY
                                                || (!trustAll
                                                        && now < b.ejectedUntil
                                                        && (b.failures >= EJECT_AFTER
                                                                || b.rests > 0)))
                        .count();
    }

    // ---- what is known
    // -----------------------------------------------------------------------------

    /** One client request and its attempts. */
    private static final class Request {
        final long id, key, workNs, arrivedAt, deadline, aimAt;
        final Party c, tenant;
        final Endpoint[] endpoints;
        final long[] sentAt;
        final int[] outAtSend;
        final Outcome[] fate;
        final boolean[] lost;
        double worth;
        int sent, open;
        boolean overQuota, streaming, ended;

        Request(
                long id,
                Party c,
                Party tenant,
                long key,
                long workNs,
                long now,
                long deadline,
                int maxAttempts) {
            this.id = id;
            this.key = key;
            this.c = c;
            this.tenant = tenant;
            this.workNs = workNs;
            this.arrivedAt = now;
            this.deadline = deadline;
            long aim =
                    c.rules.latencyObjectiveNs()
                            + (long) (c.rules.objectiveWorkMultiple() * workNs);
            this.aimAt = Math.min(deadline, now + aim);
            endpoints = new Endpoint[maxAttempts];
            sentAt = new long[maxAttempts];
            outAtSend = new int[maxAttempts];
            fate = new Outcome[maxAttempts];
            lost = new boolean[maxAttempts];
        }

        /**
         * Attempts that it may have, by the settings that hold now and those that it came under.
         */
        int most(Settings s) {
            return Math.min(s.maxAttempts, fate.length);
        }

        /** The first attempt that may have run or may still, or -1. */
        int firstThatMayHaveRun() {
            for (int i = 0; i < sent; i++) {
                if (fate[i] == null || fate[i].mayHaveRun()) {
                    return i;
                }
            }
            return -1;
        }

        /** Until when one more attempt may be written, by what those before it may have done. */
        long repeatedBy() {
            int first = firstThatMayHaveRun();
            return first < 0 || c.rules.idempotency() == Idempotency.IDEMPOTENT
                    ? Long.MAX_VALUE
                    : sentAt[first]
                            + (c.rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                    ? c.rules.deduplicationWindowNs()
                                    : 0);
        }

        /**
         * Whether the endpoint drops a repeat of what may have run; any will do where none needs
         * to.
         */
        boolean droppedBy(Endpoint b) {
            int first = firstThatMayHaveRun();
            Endpoint a =
                    first < 0 || c.rules.idempotency() != Idempotency.IDEMPOTENCY_KEY
                            ? b
                            : endpoints[first];
            return switch (c.rules.deduplicationScope()) {
                case ALL -> true;
                case ZONE -> a.zone.equals(b.zone);
                case CELL -> a == b || (a.cell >= 0 && a.cell == b.cell);
            };
        }

        boolean tried(Endpoint b) {
            return sent > 0 && Arrays.asList(endpoints).contains(b);
        }
    }

    private record Sent(Request r, int attempt) {}

    /** A class or a tenant: what it asked for and what it was served, in worth. */
    private static final class Party {
        final RequestClass rules;
        final Tenant tenant;
        final DecayingCounter asked, served, arrivals;
        double latency;

        Party(RequestClass rules, Tenant tenant, long memory, long span, long now) {
            this.rules = rules;
            this.tenant = tenant;
            asked = new DecayingCounter(memory, now);
            served = new DecayingCounter(memory, now);
            arrivals = new DecayingCounter(span, now);
        }

        /** Counts an arrival; whether it is within this node's part of the tenant's quota. */
        boolean withinQuota(int nodes, long now) {
            double quota = tenant.quotaPerSecond() / nodes * arrivals.span / 1e9;
            boolean within = arrivals.inSpan(now) < quota;
            arrivals.count(now, within ? 1 : 0);
            return within;
        }
    }

    /**
     * Held requests of one kind, the oldest first; {@code again}: not every endpoint may be open to
     * them.
     */
    private record Line(
            Party c, Party tenant, boolean over, boolean again, ArrayDeque<Request> requests) {}

    /** One endpoint as this node sees it. */
    private static final class Endpoint extends LatencyStats {
        final String name;
        final long hash;
        String zone;
        int cell;

        /** The most it was ever listed with: its size, where weights fall with load. */
        double idleWeight;

        EndpointState state;
        long readyAt;

        /** Reported queue, or requests in hand where no queue is: smoothed, and as told last. */
        double smoothed, lastTold = -1;

        boolean tellsQueue;

        /** Its own service time by its last report, and when that came. */
        double reported;

        long reportedAt;
        int sentSince, outstanding;

        /** Attempts from the oldest that counts as out on; when the newest answered was sent. */
        final ArrayDeque<Sent> sent = new ArrayDeque<>();

        long newestAnswered;

        /** Attempts that seem lost, with no answer to a later one. */
        int unanswered;

        /** When it last answered anything, or got work while idle. */
        long lastSign;

        double trust = 1;

        /**
         * Drawn anew at each outcome: rooms are rounded by chance, so that the nodes' parts add up.
         */
        double rounding;

        /** Rests on end because it is jammed. */
        int rests, failures;

        long ejectedUntil;
        double limit;

        Endpoint(String name) {
            this.name = name;
            hash = hash(name);
        }

        private static long hash(String name) {
            long hash = 0;
            for (int i = 0; i < name.length(); i++) {
                hash = mix(hash + name.charAt(i) + 1);
            }
            return hash;
        }

        void apply(EndpointEntry e) {
            zone = e.zone();
            cell = e.cell();
            idleWeight = Math.max(idleWeight, e.weight());
            state = e.state();
            readyAt = e.readyAtNs();
        }

        double size(boolean listed) {
            return listed && idleWeight > 0 ? idleWeight : 1;
        }

        void report(LoadReport load, long now) {
            if (load.latencyMs() > 0 && load.latencyMs() < Double.POSITIVE_INFINITY) {
                reported = 1e6 * load.latencyMs();
                reportedAt = now;
            }
            tellsQueue |= load.queue() >= 0;
            double told = tellsQueue ? load.queue() : load.inflight();
            if (told >= 0 && told < Double.POSITIVE_INFINITY && told != lastTold) {
                lastTold = told; // answers repeat a report until there is a fresher one
                smoothed += REPORT_WEIGHT * (told - smoothed);
                sentSince = 0;
            }
        }

        /** What it told, and this node's correction: own sends since then that are still out. */
        double load() {
            double load = smoothed + sentSince;
            return tellsQueue
                    ? load
                    : Math.max(outstanding, load); // requests in hand hold all own ones
        }

        /** The share of its capacity that it is sure to have after its start: 1 when warm. */
        double coldness(Settings s, long now) {
            if (readyAt == 0 || now - readyAt >= s.slowStartNs) {
                return 1;
            }
            double age = Math.max(0, now - readyAt);
            return s.slowStartInitialShare + (1 - s.slowStartInitialShare) * age / s.slowStartNs;
        }
    }
}
