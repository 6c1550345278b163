package trailthread;

import java.util.ArrayList;
import java.util.List;
import trailthread.api.BalancerActions;
import trailthread.api.DeduplicationScope;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.Idempotency;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.RequestClass;
import trailthread.api.Settings;

/** A balancer with a scripted clock. Its actions are recorded; no endpoint is simulated. */
final class ScriptedBalancer implements BalancerActions {
    static final long MS = 1_000_000L;

    /**
     * One attempt that the balancer has sent.
     *
     * @param at when, by the clock of the events
     * @param attempt its number in the request, from 0 on
     * @param writeDeadline until when the request may be written
     */
    record Send(long id, String endpoint, long at, int attempt, long writeDeadline) {}

    /** One timer that is not due yet. */
    record Timer(long at, long token) {}

    final List<Send> sends = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final StringBuilder transcript = new StringBuilder();
    int watches;

    /** The Retry-After of the last rejection, in nanoseconds; 0: none. */
    long lastRetryAfterNs;

    long now = 1_000_000_000_000L;
    long nextId = 1;
    final Balancer balancer;

    ScriptedBalancer(Settings settings, long seed) {
        balancer = new Balancer(settings, seed, now, this);
    }

    static Settings settings() {
        Settings s = new Settings();
        s.classes.add(
                new RequestClass(
                        "safe",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0.2));
        s.classes.add(
                new RequestClass(
                        "keyed",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.CELL,
                        2000 * MS,
                        1,
                        0.2));
        s.classes.add(
                new RequestClass(
                        "unsafe",
                        200 * MS,
                        0,
                        1000 * MS,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0.2));
        return s;
    }

    static EndpointEntry ready(String name) {
        return new EndpointEntry(name, 1, EndpointState.READY, "here", 0, 0);
    }

    void endpoints(String... names) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String name : names) {
            entries.add(ready(name));
        }
        balancer.updateEndpointList(now, ListKind.FULL, entries);
    }

    void delta(EndpointEntry entry) {
        balancer.updateEndpointList(now, ListKind.DELTA, List.of(entry));
    }

    long request(String requestClass) {
        long id = nextId++;
        balancer.requestArrived(now, id, requestClass, 0, now + 1000 * MS, null, false, 0);
        return id;
    }

    /** The attempts of one request that have been sent so far. */
    List<Send> sendsOf(long id) {
        return sends.stream().filter(s -> s.id() == id).toList();
    }

    void end(long id, Outcome outcome) {
        end(id, outcome, null);
    }

    /** Ends the last attempt of a request, with the load report that came with its response. */
    void end(long id, Outcome outcome, LoadReport load) {
        Send last = sendsOf(id).get(sendsOf(id).size() - 1);
        balancer.attemptEnded(
                now, id, last.attempt(), outcome, now - last.at(), outcome == Outcome.OK, load);
    }

    static LoadReport queueReport(double queue) {
        return new LoadReport(Double.NaN, queue, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** Advances the clock, and delivers timers as they become due. */
    void advance(long ns) {
        long until = now + ns;
        while (true) {
            Timer next = null;
            for (Timer t : timers) {
                if (t.at() <= until && (next == null || t.at() < next.at())) {
                    next = t;
                }
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next.at());
            balancer.timerFired(now, next.token());
        }
        now = until;
    }

    @Override
    public void send(long id, long timeoutNs, long writeDeadline, String endpoint) {
        sends.add(new Send(id, endpoint, now, sendsOf(id).size(), writeDeadline));
        transcript
                .append("send ")
                .append(id)
                .append(' ')
                .append(timeoutNs)
                .append(' ')
                .append(endpoint)
                .append('\n');
    }

    @Override
    public void reject(long id, long retryAfterNs) {
        rejected.add(id);
        lastRetryAfterNs = retryAfterNs;
        transcript.append("refuse ").append(id).append('\n');
    }

    @Override
    public void fail(long id) {
        failed.add(id);
        transcript.append("fail ").append(id).append('\n');
    }

    @Override
    public void cancel(long id, int attempt) {
        cancelled.add(id);
        transcript.append("cancel ").append(id).append(' ').append(attempt).append('\n');
    }

    @Override
    public void setTimer(long delayNs, long token) {
        timers.add(new Timer(now + delayNs, token));
        transcript.append("timer ").append(delayNs).append(' ').append(token).append('\n');
    }

    @Override
    public void checkHealth(String endpoint) {
        transcript.append("probe ").append(endpoint).append('\n');
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        transcript.append("close ").append(endpoint).append('\n');
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        transcript.append("tell ").append(peer).append('\n');
    }

    @Override
    public void watchList(boolean on) {
        watches++;
        transcript.append("watch ").append(on).append('\n');
    }

    @Override
    public void fetchList() {
        transcript.append("fetch\n");
    }

    @Override
    public void log(String text) {
        log.add(text);
    }
}
