package trailthread.daemon;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import trailthread.Balancer;
import trailthread.api.BalancerActions;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/**
 * Plays a crowd of requests to a module of its own, in time of its own, so that the decisions of a
 * start are not the first ones ever taken: a cold decision among ten endpoints takes longer than
 * all the rest of a call, and the crowd that a restart brings takes hundreds. No socket and no
 * clock; what it decides is dropped.
 */
class DecisionWarmUp implements BalancerActions {
    private static final int ENDPOINTS = 10;
    private static final long STEP_NS = 1_000_000;

    /**
     * So many requests a step, more than the endpoints can take: some are held, and turned away.
     */
    private static final int REQUESTS_A_STEP = 2;

    private static final long ANSWER_NS = 25 * STEP_NS;

    private record Attempt(long id, int number, long endsAt) {}

    private record Timer(long at, long token) {}

    private final Settings settings;
    private final Balancer module;
    private final ArrayDeque<Attempt> out = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private long now;
    private long id;

    DecisionWarmUp(Settings settings, long seed) {
        this.settings = settings;
        module = new Balancer(settings, seed, now, this);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            entries.add(new EndpointEntry("w" + i, 1, EndpointState.READY, settings.zone, 0, i));
        }
        module.list(now, ListKind.FULL, entries);
    }

    /** Plays one step. */
    void step() {
        now += STEP_NS;
        while (!timers.isEmpty() && timers.peek().at <= now) {
            module.timer(now, timers.poll().token);
        }
        while (!out.isEmpty() && out.peek().endsAt <= now) {
            Attempt done = out.poll();
            module.outcome(
                    now,
                    done.id,
                    done.number,
                    Outcome.OK,
                    ANSWER_NS,
                    true,
                    new LoadReport(1, 0, Double.NaN, Double.NaN, Double.NaN, Double.NaN));
        }
        for (int i = 0; i < REQUESTS_A_STEP; i++) {
            RequestClass c = settings.classes.get((int) (++id % settings.classes.size()));
            module.request(now, id, c.name(), 0, now + c.deadlineNs(), null, false, 0);
        }
    }

    @Override
    public void send(long request, long timeoutNs, long writtenBy, String endpoint) {
        out.add(new Attempt(request, 0, now + ANSWER_NS));
    }

    @Override
    public void timer(long delayNs, long token) {
        timers.add(new Timer(now + delayNs, token));
    }

    @Override
    public void refuse(long request, long retryAfterNs) {}

    @Override
    public void fail(long request) {}

    @Override
    public void cancel(long request, int attempt) {}

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
