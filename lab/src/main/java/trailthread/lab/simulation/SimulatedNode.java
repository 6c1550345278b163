package trailthread.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.api.LoadReport;
import trailthread.api.Outcome;
import trailthread.api.Settings;
import trailthread.lab.clients.ClientRequest;
import trailthread.lab.fault.FaultTarget;
import trailthread.lab.invariant.InvariantChecker;
import trailthread.lab.invariant.RequestTerms;

/**
 * A node in virtual time: hosts one instance of the decisions under test, which learns and acts by
 * it alone.
 */
final class SimulatedNode implements BalancerActions, FaultTarget.Node {
    /**
     * What one event may ask for, and what a node may have set as timers: past it the decisions run
     * wild.
     */
    private static final int MOST_ACTIONS = 100_000;

    private static final int MOST_TIMERS = 2_000_000;

    private record Idle(int life, long since) {}

    /** One event, told at this time. */
    private interface Telling {
        void tell(BalancerEvents module, long now);
    }

    final int number;
    final String name;
    final String zone;
    private final Simulation world;
    private final Map<Long, SimulatedRequest> calls = new LinkedHashMap<>();
    private final Map<SimulatedServer, ArrayDeque<Idle>> idle = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> asked = new ArrayDeque<>();
    private BalancerEvents module;
    private boolean busy;
    private int life;
    private boolean up = true;
    private long pausedUntil;
    private long diedAt;
    private boolean leaving;
    private int timers;
    private int atOnce;
    private long lastAt;
    boolean watches;

    SimulatedNode(Simulation world, int number, String zone) {
        this.world = world;
        this.number = number;
        this.name = "n" + number;
        this.zone = zone;
    }

    /** Starts it; of the servers it knows what discovery knows. */
    @Override
    public void start() {
        up = true;
        leaving = false;
        life++;
        Settings settings = world.settings(this);
        module =
                world.policy()
                        .make(
                                settings,
                                world.streams().seedOf(name + " life " + life),
                                world.now(),
                                this,
                                world.truth());
        list(ListKind.CACHED, world.discovery().whole());
    }

    boolean isUp() {
        return up;
    }

    /** Something that reaches it: at once, or when it goes on. */
    void input(Runnable task) {
        int of = life;
        if (pausedUntil > world.now()) {
            world.eventQueue()
                    .scheduleAt(
                            pausedUntil,
                            () -> {
                                if (life == of) {
                                    task.run();
                                }
                            });
        } else if (up) {
            task.run();
        }
    }

    @Override
    public void pause(long forNs) {
        pausedUntil = world.now() + forNs;
    }

    boolean isPaused() {
        return pausedUntil > world.now();
    }

    @Override
    public boolean isServing() {
        return up && !leaving;
    }

    /**
     * New calls go elsewhere until it is back; it ends once all that it had must have been
     * answered.
     */
    @Override
    public void restart() {
        leaving = true;
        int of = life;
        world.eventQueue()
                .scheduleAfter(
                        world.longestDeadline(),
                        () -> {
                            if (life == of) {
                                kill();
                                start();
                            }
                        });
    }

    @Override
    public void reload() {
        // nothing has changed in it
    }

    boolean isLeaving() {
        return leaving;
    }

    /** When it died last. */
    long diedAt() {
        return diedAt;
    }

    @Override
    public void kill() {
        up = false;
        diedAt = world.now();
        watches = false;
        life++;
        List<SimulatedRequest> had = new ArrayList<>(calls.values());
        calls.clear();
        asked.clear();
        timers = 0;
        idle.forEach(
                (server, connections) ->
                        connections.forEach(
                                c -> {
                                    if (c.life == server.process().life()) {
                                        server.connections--;
                                    }
                                }));
        idle.clear();
        for (SimulatedRequest call : had) {
            if (call.out != null) {
                call.out.dies();
            }
            world.checker().forget(call.name);
            if (!call.finished) {
                call.ask.saw(ClientRequest.Seen.NOTHING, 0);
            }
        }
    }

    // ---- events
    // ------------------------------------------------------------------------------------

    private void event(Telling telling) {
        long now = world.now();
        atOnce = now == lastAt ? atOnce + 1 : 0;
        lastAt = now;
        if (atOnce > MOST_ACTIONS) {
            throw new BalancerFailureException(
                    now, number, "more than " + MOST_ACTIONS + " events without time passing");
        }
        long begun = System.nanoTime();
        telling.tell(module, now);
        world.metrics().decided(System.nanoTime() - begun);
        if (asked.size() > MOST_ACTIONS) {
            throw new BalancerFailureException(
                    now, number, "one event asked for more than " + MOST_ACTIONS + " actions");
        }
        if (busy) {
            return;
        }
        busy = true;
        try {
            for (Runnable action = asked.poll(); action != null; action = asked.poll()) {
                action.run();
            }
        } finally {
            busy = false;
        }
    }

    /** Takes a call whose client waits until this time. */
    void take(ClientRequest ask, long until) {
        SimulatedRequest call =
                new SimulatedRequest(world.nextId(), world.nextSerial(), ask, world.now(), until);
        calls.put(call.id, call);
        var rules = ask.law().rules();
        world.checker()
                .taken(
                        world.now(),
                        call.name,
                        name,
                        new RequestTerms(
                                rules.name(),
                                rules.idempotency(),
                                rules.deduplicationScope(),
                                rules.deduplicationWindowNs(),
                                until));
        long slack = world.scenario().rules().responseSlackNs();
        world.eventQueue().scheduleAt(until + slack + 1, () -> clientLeaves(call));
        event(
                (m, now) ->
                        m.request(
                                now,
                                call.id,
                                rules.name(),
                                0,
                                until,
                                ask.tenant(),
                                false,
                                ask.key()));
    }

    /** The client's time is over. */
    private void clientLeaves(SimulatedRequest call) {
        if (call.finished || !calls.containsKey(call.id)) {
            return;
        }
        if (isPaused()) {
            world.checker()
                    .gone(
                            world.now(),
                            call.name); // a process that is stopped owes nothing meanwhile
        } else {
            world.checker().overdue(world.now(), call.name);
        }
        call.finished = true;
        call.ask.saw(ClientRequest.Seen.NOTHING, 0);
        input(() -> event((m, now) -> m.clientDisconnected(now, call.id)));
        forgetIfDone(call);
    }

    /** An attempt has ended; what that came to is told to the client first. */
    void ended(SimulatedAttempt attempt, Outcome outcome, long latencyNs, LoadReport load) {
        SimulatedRequest call = attempt.call;
        call.out = null;
        world.checker().ended(world.now(), call.name, attempt.number, outcome);
        input(
                () -> {
                    if (outcome == Outcome.OK && !call.finished) {
                        answer(call, ClientRequest.Seen.SERVED, 0, "served");
                    }
                    boolean closed = call.finished;
                    event(
                            (m, now) ->
                                    m.outcome(
                                            now,
                                            call.id,
                                            attempt.number,
                                            outcome,
                                            latencyNs,
                                            closed,
                                            load));
                    forgetIfDone(call);
                });
    }

    private void answer(
            SimulatedRequest call, ClientRequest.Seen seen, long retryAfterNs, String how) {
        world.checker().answered(world.now(), call.name, how);
        if (!call.finished) {
            call.finished = true;
            call.ask.saw(seen, retryAfterNs);
        }
        forgetIfDone(call);
    }

    private void forgetIfDone(SimulatedRequest call) {
        if (call.finished && call.out == null) {
            calls.remove(call.id);
        }
    }

    /** News of the servers. */
    void list(ListKind kind, List<EndpointEntry> entries) {
        for (EndpointEntry entry : entries) {
            world.checker()
                    .told(
                            world.now(),
                            name,
                            entry.endpoint(),
                            entry.state() == EndpointState.READY);
        }
        event((m, now) -> m.list(now, kind, entries));
    }

    // ---- connections
    // -------------------------------------------------------------------------------

    /**
     * Takes the idle connection that was used last, if there is one that the server has not closed
     * yet.
     */
    boolean takesIdle(SimulatedServer server) {
        ArrayDeque<Idle> connections = idle.get(server);
        if (connections == null) {
            return false;
        }
        long oldest = world.now() - world.network().idleCloseNs();
        for (Idle first = connections.peekFirst();
                first != null && (first.since <= oldest || first.life != server.process().life());
                first = connections.peekFirst()) {
            connections.pollFirst();
            if (first.life == server.process().life()) {
                server.connections--;
            }
        }
        return connections.pollLast() != null;
    }

    void mayKeepIdle(SimulatedServer server, int of) {
        if (server.process().life() == of) {
            idle.computeIfAbsent(server, w -> new ArrayDeque<>())
                    .addLast(new Idle(of, world.now()));
        }
    }

    // ---- actions
    // -----------------------------------------------------------------------------------

    private SimulatedServer server(String endpoint) {
        SimulatedServer server = world.server(endpoint);
        if (server == null) {
            throw new BalancerFailureException(
                    world.now(), number, "a worker that no list has named: " + endpoint);
        }
        return server;
    }

    @Override
    public void send(long id, long timeoutNs, long writtenBy, String endpoint) {
        asked.add(
                () -> {
                    SimulatedServer server = server(endpoint);
                    SimulatedRequest call = calls.get(id);
                    if (call == null) {
                        return; // it ended a moment ago
                    }
                    int attempt = call.attempts++;
                    long left = call.deadline - world.now();
                    if (call.finished
                            || left <= 0
                            || call.out != null
                            || attempt >= world.scenario().rules().maxAttempts()) {
                        event(
                                (m, now) ->
                                        m.outcome(
                                                now,
                                                id,
                                                attempt,
                                                Outcome.NOT_SENT,
                                                0,
                                                call.finished,
                                                null));
                        return;
                    }
                    call.out = new SimulatedAttempt(world, this, call, attempt, server);
                    world.metrics().sends(server.index);
                    world.checker()
                            .sent(
                                    world.now(),
                                    call.name,
                                    attempt,
                                    name,
                                    new InvariantChecker.Place(
                                            server.name, server.zone, server.cell));
                    call.out.send(timeoutNs == 0 ? left : Math.min(timeoutNs, left));
                });
    }

    @Override
    public void refuse(long id, long retryAfterNs) {
        asked.add(
                () -> {
                    SimulatedRequest call = calls.get(id);
                    if (call != null) {
                        world.metrics().refuses();
                        answer(call, ClientRequest.Seen.REFUSED, retryAfterNs, "refused");
                    }
                });
    }

    @Override
    public void fail(long id) {
        asked.add(
                () -> {
                    SimulatedRequest call = calls.get(id);
                    if (call != null) {
                        answer(call, ClientRequest.Seen.FAILED, 0, "failed");
                    }
                });
    }

    @Override
    public void cancel(long id, int attempt) {
        asked.add(
                () -> {
                    SimulatedRequest call = calls.get(id);
                    if (call != null && call.out != null && call.out.number == attempt) {
                        call.out.giveUp(Outcome.CANCELLED);
                    }
                });
    }

    @Override
    public void timer(long delayNs, long token) {
        int of = life;
        if (++timers > MOST_TIMERS) {
            throw new BalancerFailureException(
                    world.now(), number, "more than " + MOST_TIMERS + " timers");
        }
        world.eventQueue()
                .scheduleAfter(
                        delayNs,
                        () -> {
                            if (life == of) {
                                timers--;
                                input(() -> event((m, now) -> m.timer(now, token)));
                            }
                        });
    }

    @Override
    public void checkHealth(String endpoint) {
        asked.add(
                () -> {
                    SimulatedServer server = server(endpoint);
                    world.metrics().probes();
                    long begun = world.now();
                    boolean[] over = new boolean[1];
                    long within = world.probeWithinNs();
                    world.eventQueue()
                            .scheduleAfter(
                                    within,
                                    () ->
                                            healthChecked(
                                                    server, Outcome.TIMEOUT, within, null, over));
                    world.travel(
                            this,
                            server,
                            () -> {
                                if (!server.process().isUp()) {
                                    world.travel(
                                            server,
                                            this,
                                            () ->
                                                    healthChecked(
                                                            server,
                                                            Outcome.RESET,
                                                            world.now() - begun,
                                                            null,
                                                            over));
                                } else {
                                    server.process()
                                            .probes(
                                                    () -> {
                                                        LoadReport load =
                                                                server.process().healthChecked();
                                                        world.travel(
                                                                server,
                                                                this,
                                                                () ->
                                                                        healthChecked(
                                                                                server,
                                                                                Outcome.OK,
                                                                                world.now() - begun,
                                                                                load,
                                                                                over));
                                                    });
                                }
                            });
                });
    }

    private void healthChecked(
            SimulatedServer server,
            Outcome outcome,
            long latencyNs,
            LoadReport load,
            boolean[] over) {
        if (!over[0] && up) {
            over[0] = true;
            input(
                    () ->
                            event(
                                    (m, now) ->
                                            m.healthChecked(
                                                    now, server.name, outcome, latencyNs, load)));
        }
    }

    @Override
    public void closeIdle(String endpoint) {
        asked.add(
                () -> {
                    SimulatedServer server = server(endpoint);
                    ArrayDeque<Idle> connections = idle.remove(server);
                    if (connections != null) {
                        server.connections -=
                                (int)
                                        connections.stream()
                                                .filter(c -> c.life == server.process().life())
                                                .count();
                    }
                });
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new BalancerFailureException(
                world.now(), number, "a message to a peer: nodes share nothing here");
    }

    @Override
    public void watch(boolean on) {
        asked.add(() -> world.discovery().watch(this, on));
    }

    @Override
    public void fetch() {
        asked.add(() -> world.discovery().fetch(this));
    }

    @Override
    public void log(String text) {
        world.metrics().logs();
    }
}
