package trailthread.daemon;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trailthread.Balancer;
import trailthread.api.BalancerActions;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.engine.loop.EventLoop;

/**
 * Warms up the code of the decision module: simulates more requests than a few endpoints can serve,
 * with a separate {@link Balancer} whose decisions are discarded. Without a warm-up, the first
 * decision among several endpoints takes longer than all the rest of a request; {@link
 * LoopbackWarmUp} has only one endpoint.
 *
 * <p>Uses simulated time and no sockets.
 */
class DecisionWarmUp implements BalancerActions {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionWarmUp.class);
    private static final int ENDPOINTS = 10;
    private static final long STEP_NS = 1_000_000;
    private static final int MAX_STEPS = 300;
    private static final long MAX_DURATION_NS = 50_000_000L;

    /** More than the endpoints can serve, so that some requests are queued and some rejected. */
    private static final int REQUESTS_PER_STEP = 2;

    private static final long RESPONSE_TIME_NS = 25 * STEP_NS;

    private record Attempt(long request, int number, long endsAt) {}

    private record Timer(long at, long token) {}

    private final Settings settings;
    private final Balancer balancer;

    /** The attempts in flight; as all take the same time, they end in this order. */
    private final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

    /** Simulated time, in nanoseconds. */
    private long now;

    private long lastRequest;

    /** Creates a simulation of a node with these settings. */
    DecisionWarmUp(Settings settings, long seed) {
        this.settings = settings;
        balancer = new Balancer(settings, seed, now, this);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            entries.add(new EndpointEntry("w" + i, 1, EndpointState.READY, settings.zone, 0, i));
        }
        balancer.updateEndpointList(now, ListKind.FULL, entries);
    }

    /**
     * Runs a simulation for a limited number of steps and a limited real time. An exception ends
     * the simulation only: without a warm-up the node is slower at first, but it serves.
     */
    static void run(EventLoop loop, Settings settings, long seed) {
        try {
            simulate(loop, settings, seed);
        } catch (RuntimeException e) {
            LOG.error("the decisions are not warmed up, as they threw an exception", e);
        }
    }

    private static void simulate(EventLoop loop, Settings settings, long seed) {
        DecisionWarmUp simulation = new DecisionWarmUp(settings, seed);
        long until = loop.now() + MAX_DURATION_NS;
        for (int i = 0; i < MAX_STEPS && loop.now() < until; i++) {
            simulation.step();
        }
    }

    /** Simulates one step: timers that are due, attempts that end, and new requests. */
    void step() {
        now += STEP_NS;
        while (!timers.isEmpty() && timers.peek().at <= now) {
            balancer.timerFired(now, timers.poll().token);
        }
        while (!inFlight.isEmpty() && inFlight.peek().endsAt <= now) {
            succeed(inFlight.poll());
        }
        for (int i = 0; i < REQUESTS_PER_STEP; i++) {
            sendRequest();
        }
    }

    private void succeed(Attempt attempt) {
        LoadReport load = new LoadReport(1, 0, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        balancer.attemptEnded(
                now, attempt.request, attempt.number, Outcome.OK, RESPONSE_TIME_NS, true, load);
    }

    private void sendRequest() {
        lastRequest++;
        int index = (int) (lastRequest % settings.classes.size());
        RequestClass requestClass = settings.classes.get(index);
        balancer.requestArrived(
                now,
                lastRequest,
                requestClass.name(),
                0,
                now + requestClass.deadlineNs(),
                null,
                false,
                0);
    }

    @Override
    public void send(long request, long timeoutNs, long writtenBy, String endpoint) {
        inFlight.add(new Attempt(request, 0, now + RESPONSE_TIME_NS));
    }

    @Override
    public void setTimer(long delayNs, long token) {
        timers.add(new Timer(now + delayNs, token));
    }

    @Override
    public void reject(long request, long retryAfterNs) {}

    @Override
    public void fail(long request) {}

    @Override
    public void cancel(long request, int attempt) {}

    @Override
    public void checkHealth(String endpoint) {}

    @Override
    public void closeIdleConnections(String endpoint) {}

    @Override
    public void sendToPeer(int peer, byte[] data) {}

    @Override
    public void watchList(boolean on) {}

    @Override
    public void fetchList() {}

    @Override
    public void log(String text) {}
}
