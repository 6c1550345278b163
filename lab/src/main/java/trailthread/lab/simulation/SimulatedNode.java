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
import trailthread.lab.clients.ClientOperation;
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
    private static final int MAX_ACTIONS_PER_EVENT = 100_000;

    private static final int MAX_TIMERS = 2_000_000;

    private record IdleConnection(int life, long idleSince) {}

    /** One event, told at this time. */
    private interface ModuleEvent {
        void deliver(BalancerEvents module, long now);
    }

    final int number;
    final String name;
    final String zone;
    private final Simulation world;
    private final Map<Long, SimulatedRequest> requests = new LinkedHashMap<>();
    private final Map<SimulatedServer, ArrayDeque<IdleConnection>> idleConnections =
            new LinkedHashMap<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private BalancerEvents module;
    private boolean runningActions;
    private int life;
    private boolean up = true;
    private long pausedUntil;
    private long diedAt;
    private boolean leaving;
    private int timerCount;
    private int eventsAtSameTime;
    private long lastEventAt;
    boolean watching;

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
        list(ListKind.CACHED, world.discovery().snapshot());
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
        watching = false;
        life++;
        List<SimulatedRequest> openRequests = new ArrayList<>(requests.values());
        requests.clear();
        pendingActions.clear();
        timerCount = 0;
        idleConnections.forEach(
                (server, connections) ->
                        connections.forEach(
                                c -> {
                                    if (c.life == server.process().life()) {
                                        server.connections--;
                                    }
                                }));
        idleConnections.clear();
        for (SimulatedRequest request : openRequests) {
            if (request.currentAttempt != null) {
                request.currentAttempt.nodeKilled();
            }
            world.checker().forget(request.name);
            if (!request.finished) {
                request.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
            }
        }
    }

    // ---- events
    // ------------------------------------------------------------------------------------

    private void notifyModule(ModuleEvent event) {
        long now = world.now();
        eventsAtSameTime = now == lastEventAt ? eventsAtSameTime + 1 : 0;
        lastEventAt = now;
        if (eventsAtSameTime > MAX_ACTIONS_PER_EVENT) {
            throw new BalancerFailureException(
                    now,
                    number,
                    "more than " + MAX_ACTIONS_PER_EVENT + " events without time passing");
        }
        long startedAt = System.nanoTime();
        event.deliver(module, now);
        world.metrics().recordDecision(System.nanoTime() - startedAt);
        if (pendingActions.size() > MAX_ACTIONS_PER_EVENT) {
            throw new BalancerFailureException(
                    now,
                    number,
                    "one event asked for more than " + MAX_ACTIONS_PER_EVENT + " actions");
        }
        if (runningActions) {
            return;
        }
        runningActions = true;
        try {
            for (Runnable action = pendingActions.poll();
                    action != null;
                    action = pendingActions.poll()) {
                action.run();
            }
        } finally {
            runningActions = false;
        }
    }

    /** Takes a call whose client waits until this time. */
    void receiveRequest(ClientOperation operation, long deadline) {
        SimulatedRequest request =
                new SimulatedRequest(
                        world.nextId(), world.nextSerial(), operation, world.now(), deadline);
        requests.put(request.id, request);
        var rules = operation.classModel().rules();
        world.checker()
                .requestReceived(
                        world.now(),
                        request.name,
                        name,
                        new RequestTerms(
                                rules.name(),
                                rules.idempotency(),
                                rules.deduplicationScope(),
                                rules.deduplicationWindowNs(),
                                deadline));
        long slack = world.scenario().rules().responseSlackNs();
        world.eventQueue().scheduleAt(deadline + slack + 1, () -> clientTimedOut(request));
        notifyModule(
                (m, now) ->
                        m.request(
                                now,
                                request.id,
                                rules.name(),
                                0,
                                deadline,
                                operation.tenant(),
                                false,
                                operation.key()));
    }

    /** The client's time is over. */
    private void clientTimedOut(SimulatedRequest request) {
        if (request.finished || !requests.containsKey(request.id)) {
            return;
        }
        if (isPaused()) {
            world.checker()
                    .clientDisconnected(
                            world.now(),
                            request.name); // a process that is stopped owes nothing meanwhile
        } else {
            world.checker().deadlineMissed(world.now(), request.name);
        }
        request.finished = true;
        request.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
        input(() -> notifyModule((m, now) -> m.clientDisconnected(now, request.id)));
        forgetIfDone(request);
    }

    /** An attempt has ended; what that came to is told to the client first. */
    void attemptEnded(SimulatedAttempt attempt, Outcome outcome, long latencyNs, LoadReport load) {
        SimulatedRequest request = attempt.request;
        request.currentAttempt = null;
        world.checker().attemptEnded(world.now(), request.name, attempt.number, outcome);
        input(
                () -> {
                    if (outcome == Outcome.OK && !request.finished) {
                        respond(request, ClientOperation.AttemptResult.SERVED, 0, "served");
                    }
                    boolean closed = request.finished;
                    notifyModule(
                            (m, now) ->
                                    m.outcome(
                                            now,
                                            request.id,
                                            attempt.number,
                                            outcome,
                                            latencyNs,
                                            closed,
                                            load));
                    forgetIfDone(request);
                });
    }

    private void respond(
            SimulatedRequest request,
            ClientOperation.AttemptResult seen,
            long retryAfterNs,
            String description) {
        world.checker().responded(world.now(), request.name, description);
        if (!request.finished) {
            request.finished = true;
            request.operation.attemptEnded(seen, retryAfterNs);
        }
        forgetIfDone(request);
    }

    private void forgetIfDone(SimulatedRequest request) {
        if (request.finished && request.currentAttempt == null) {
            requests.remove(request.id);
        }
    }

    /** News of the servers. */
    void list(ListKind kind, List<EndpointEntry> entries) {
        for (EndpointEntry entry : entries) {
            world.checker()
                    .endpointStateReceived(
                            world.now(),
                            name,
                            entry.endpoint(),
                            entry.state() == EndpointState.READY);
        }
        notifyModule((m, now) -> m.list(now, kind, entries));
    }

    // ---- connections
    // -------------------------------------------------------------------------------

    /**
     * Takes the idle connection that was used last, if there is one that the server has not closed
     * yet.
     */
    boolean takeIdleConnection(SimulatedServer server) {
        ArrayDeque<IdleConnection> connections = idleConnections.get(server);
        if (connections == null) {
            return false;
        }
        long idleLimit = world.now() - world.network().idleCloseNs();
        for (IdleConnection first = connections.peekFirst();
                first != null
                        && (first.idleSince <= idleLimit || first.life != server.process().life());
                first = connections.peekFirst()) {
            connections.pollFirst();
            if (first.life == server.process().life()) {
                server.connections--;
            }
        }
        return connections.pollLast() != null;
    }

    void keepIdleConnection(SimulatedServer server, int of) {
        if (server.process().life() == of) {
            idleConnections
                    .computeIfAbsent(server, w -> new ArrayDeque<>())
                    .addLast(new IdleConnection(of, world.now()));
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
        pendingActions.add(
                () -> {
                    SimulatedServer server = server(endpoint);
                    SimulatedRequest request = requests.get(id);
                    if (request == null) {
                        return; // it ended a moment ago
                    }
                    int attempt = request.attempts++;
                    long left = request.deadline - world.now();
                    if (request.finished
                            || left <= 0
                            || request.currentAttempt != null
                            || attempt >= world.scenario().rules().maxAttempts()) {
                        notifyModule(
                                (m, now) ->
                                        m.outcome(
                                                now,
                                                id,
                                                attempt,
                                                Outcome.NOT_SENT,
                                                0,
                                                request.finished,
                                                null));
                        return;
                    }
                    request.currentAttempt =
                            new SimulatedAttempt(world, this, request, attempt, server);
                    world.metrics().recordAttempt(server.index);
                    world.checker()
                            .attemptSent(
                                    world.now(),
                                    request.name,
                                    attempt,
                                    name,
                                    new InvariantChecker.Place(
                                            server.name, server.zone, server.cell));
                    request.currentAttempt.send(timeoutNs == 0 ? left : Math.min(timeoutNs, left));
                });
    }

    @Override
    public void refuse(long id, long retryAfterNs) {
        pendingActions.add(
                () -> {
                    SimulatedRequest request = requests.get(id);
                    if (request != null) {
                        world.metrics().recordRefusal();
                        respond(
                                request,
                                ClientOperation.AttemptResult.REFUSED,
                                retryAfterNs,
                                "refused");
                    }
                });
    }

    @Override
    public void fail(long id) {
        pendingActions.add(
                () -> {
                    SimulatedRequest request = requests.get(id);
                    if (request != null) {
                        respond(request, ClientOperation.AttemptResult.FAILED, 0, "failed");
                    }
                });
    }

    @Override
    public void cancel(long id, int attempt) {
        pendingActions.add(
                () -> {
                    SimulatedRequest request = requests.get(id);
                    if (request != null
                            && request.currentAttempt != null
                            && request.currentAttempt.number == attempt) {
                        request.currentAttempt.giveUp(Outcome.CANCELLED);
                    }
                });
    }

    @Override
    public void timer(long delayNs, long token) {
        int of = life;
        if (++timerCount > MAX_TIMERS) {
            throw new BalancerFailureException(
                    world.now(), number, "more than " + MAX_TIMERS + " timers");
        }
        world.eventQueue()
                .scheduleAfter(
                        delayNs,
                        () -> {
                            if (life == of) {
                                timerCount--;
                                input(() -> notifyModule((m, now) -> m.timer(now, token)));
                            }
                        });
    }

    @Override
    public void checkHealth(String endpoint) {
        pendingActions.add(
                () -> {
                    SimulatedServer server = server(endpoint);
                    world.metrics().recordHealthCheck();
                    long startedAt = world.now();
                    boolean[] finished = new boolean[1];
                    long within = world.probeWithinNs();
                    world.eventQueue()
                            .scheduleAfter(
                                    within,
                                    () ->
                                            healthChecked(
                                                    server,
                                                    Outcome.TIMEOUT,
                                                    within,
                                                    null,
                                                    finished));
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
                                                            world.now() - startedAt,
                                                            null,
                                                            finished));
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
                                                                                world.now()
                                                                                        - startedAt,
                                                                                load,
                                                                                finished));
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
            boolean[] finished) {
        if (!finished[0] && up) {
            finished[0] = true;
            input(
                    () ->
                            notifyModule(
                                    (m, now) ->
                                            m.healthChecked(
                                                    now, server.name, outcome, latencyNs, load)));
        }
    }

    @Override
    public void closeIdle(String endpoint) {
        pendingActions.add(
                () -> {
                    SimulatedServer server = server(endpoint);
                    ArrayDeque<IdleConnection> connections = idleConnections.remove(server);
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
        pendingActions.add(() -> world.discovery().watch(this, on));
    }

    @Override
    public void fetch() {
        pendingActions.add(() -> world.discovery().fetch(this));
    }

    @Override
    public void log(String text) {
        world.metrics().recordLogLine();
    }
}
