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

    private record IdleConnection(int incarnation, long idleSince) {}

    /** One event, told at this time. */
    private interface ModuleEvent {
        void dispatch(BalancerEvents module, long now);
    }

    final int number;
    final String name;
    final String zone;
    private final Simulation simulation;
    private final Map<Long, SimulatedRequest> requests = new LinkedHashMap<>();
    private final Map<SimulatedServer, ArrayDeque<IdleConnection>> idleConnections =
            new LinkedHashMap<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private BalancerEvents module;
    private boolean runningActions;
    private int incarnation;
    private boolean up = true;
    private long pausedUntil;
    private long diedAt;
    private boolean leaving;
    private int timerCount;
    private int eventsAtSameTime;
    private long lastEventAt;
    boolean watching;

    SimulatedNode(Simulation simulation, int number, String zone) {
        this.simulation = simulation;
        this.number = number;
        this.name = "n" + number;
        this.zone = zone;
    }

    /** Starts it; of the servers it knows what discovery knows. */
    @Override
    public void start() {
        up = true;
        leaving = false;
        incarnation++;
        Settings settings = simulation.settings(this);
        module =
                simulation
                        .policy()
                        .create(
                                settings,
                                simulation.streams().seedOf(name + " life " + incarnation),
                                simulation.now(),
                                this,
                                simulation.fleetView());
        list(ListKind.CACHED, simulation.discovery().snapshot());
    }

    boolean isUp() {
        return up;
    }

    /** Something that reaches it: at once, or when it goes on. */
    void deliver(Runnable task) {
        int current = incarnation;
        if (pausedUntil > simulation.now()) {
            simulation
                    .eventQueue()
                    .scheduleAt(
                            pausedUntil,
                            () -> {
                                if (incarnation == current) {
                                    task.run();
                                }
                            });
        } else if (up) {
            task.run();
        }
    }

    @Override
    public void pause(long forNs) {
        pausedUntil = simulation.now() + forNs;
    }

    boolean isPaused() {
        return pausedUntil > simulation.now();
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
        int current = incarnation;
        simulation
                .eventQueue()
                .scheduleAfter(
                        simulation.longestDeadline(),
                        () -> {
                            if (incarnation == current) {
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
        diedAt = simulation.now();
        watching = false;
        incarnation++;
        List<SimulatedRequest> openRequests = new ArrayList<>(requests.values());
        requests.clear();
        pendingActions.clear();
        timerCount = 0;
        idleConnections.forEach(
                (server, connections) ->
                        connections.forEach(
                                c -> {
                                    if (c.incarnation == server.process().incarnation()) {
                                        server.connections--;
                                    }
                                }));
        idleConnections.clear();
        for (SimulatedRequest request : openRequests) {
            if (request.currentAttempt != null) {
                request.currentAttempt.nodeKilled();
            }
            simulation.checker().forget(request.name);
            if (!request.finished) {
                request.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
            }
        }
    }

    // ---- events
    // ------------------------------------------------------------------------------------

    private void notifyModule(ModuleEvent event) {
        long now = simulation.now();
        eventsAtSameTime = now == lastEventAt ? eventsAtSameTime + 1 : 0;
        lastEventAt = now;
        if (eventsAtSameTime > MAX_ACTIONS_PER_EVENT) {
            throw new BalancerFailureException(
                    now,
                    number,
                    "more than " + MAX_ACTIONS_PER_EVENT + " events without time passing");
        }
        long startedAt = System.nanoTime();
        event.dispatch(module, now);
        simulation.metrics().recordDecision(System.nanoTime() - startedAt);
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
                        simulation.nextId(),
                        simulation.nextSerial(),
                        operation,
                        simulation.now(),
                        deadline);
        requests.put(request.id, request);
        var rules = operation.classModel().requestClass();
        simulation
                .checker()
                .requestReceived(
                        simulation.now(),
                        request.name,
                        name,
                        new RequestTerms(
                                rules.name(),
                                rules.idempotency(),
                                rules.deduplicationScope(),
                                rules.deduplicationWindowNs(),
                                deadline));
        long slack = simulation.scenario().rules().responseSlackNs();
        simulation.eventQueue().scheduleAt(deadline + slack + 1, () -> clientTimedOut(request));
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
            simulation
                    .checker()
                    .clientDisconnected(
                            simulation.now(),
                            request.name); // a process that is stopped owes nothing meanwhile
        } else {
            simulation.checker().deadlineMissed(simulation.now(), request.name);
        }
        request.finished = true;
        request.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
        deliver(() -> notifyModule((m, now) -> m.clientDisconnected(now, request.id)));
        forgetIfDone(request);
    }

    /** An attempt has ended; what that came to is told to the client first. */
    void attemptEnded(SimulatedAttempt attempt, Outcome outcome, long latencyNs, LoadReport load) {
        SimulatedRequest request = attempt.request;
        request.currentAttempt = null;
        simulation.checker().attemptEnded(simulation.now(), request.name, attempt.number, outcome);
        deliver(
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
        simulation.checker().responded(simulation.now(), request.name, description);
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
            simulation
                    .checker()
                    .endpointStateReceived(
                            simulation.now(),
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
        long idleLimit = simulation.now() - simulation.network().idleCloseNs();
        for (IdleConnection first = connections.peekFirst();
                first != null
                        && (first.idleSince <= idleLimit
                                || first.incarnation != server.process().incarnation());
                first = connections.peekFirst()) {
            connections.pollFirst();
            if (first.incarnation == server.process().incarnation()) {
                server.connections--;
            }
        }
        return connections.pollLast() != null;
    }

    void keepIdleConnection(SimulatedServer server, int current) {
        if (server.process().incarnation() == current) {
            idleConnections
                    .computeIfAbsent(server, w -> new ArrayDeque<>())
                    .addLast(new IdleConnection(current, simulation.now()));
        }
    }

    // ---- actions
    // -----------------------------------------------------------------------------------

    private SimulatedServer server(String endpoint) {
        SimulatedServer server = simulation.server(endpoint);
        if (server == null) {
            throw new BalancerFailureException(
                    simulation.now(), number, "a worker that no list has named: " + endpoint);
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
                    long left = request.deadline - simulation.now();
                    if (request.finished
                            || left <= 0
                            || request.currentAttempt != null
                            || attempt >= simulation.scenario().rules().maxAttempts()) {
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
                            new SimulatedAttempt(simulation, this, request, attempt, server);
                    simulation.metrics().recordAttempt(server.index);
                    simulation
                            .checker()
                            .attemptSent(
                                    simulation.now(),
                                    request.name,
                                    attempt,
                                    name,
                                    new InvariantChecker.ServerLocation(
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
                        simulation.metrics().recordRefusal();
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
        int current = incarnation;
        if (++timerCount > MAX_TIMERS) {
            throw new BalancerFailureException(
                    simulation.now(), number, "more than " + MAX_TIMERS + " timers");
        }
        simulation
                .eventQueue()
                .scheduleAfter(
                        delayNs,
                        () -> {
                            if (incarnation == current) {
                                timerCount--;
                                deliver(() -> notifyModule((m, now) -> m.timer(now, token)));
                            }
                        });
    }

    @Override
    public void checkHealth(String endpoint) {
        pendingActions.add(
                () -> {
                    SimulatedServer server = server(endpoint);
                    simulation.metrics().recordHealthCheck();
                    long startedAt = simulation.now();
                    boolean[] finished = new boolean[1];
                    long within = simulation.healthCheckTimeoutNs();
                    simulation
                            .eventQueue()
                            .scheduleAfter(
                                    within,
                                    () ->
                                            healthChecked(
                                                    server,
                                                    Outcome.TIMEOUT,
                                                    within,
                                                    null,
                                                    finished));
                    simulation.travel(
                            this,
                            server,
                            () -> {
                                if (!server.process().isUp()) {
                                    simulation.travel(
                                            server,
                                            this,
                                            () ->
                                                    healthChecked(
                                                            server,
                                                            Outcome.RESET,
                                                            simulation.now() - startedAt,
                                                            null,
                                                            finished));
                                } else {
                                    server.process()
                                            .checkHealth(
                                                    () -> {
                                                        LoadReport load =
                                                                server.process().healthReport();
                                                        simulation.travel(
                                                                server,
                                                                this,
                                                                () ->
                                                                        healthChecked(
                                                                                server,
                                                                                Outcome.OK,
                                                                                simulation.now()
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
            deliver(
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
                                                .filter(
                                                        c ->
                                                                c.incarnation
                                                                        == server.process()
                                                                                .incarnation())
                                                .count();
                    }
                });
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new BalancerFailureException(
                simulation.now(), number, "a message to a peer: nodes share nothing here");
    }

    @Override
    public void watch(boolean on) {
        pendingActions.add(() -> simulation.discovery().watch(this, on));
    }

    @Override
    public void fetch() {
        pendingActions.add(() -> simulation.discovery().fetch(this));
    }

    @Override
    public void log(String text) {
        simulation.metrics().recordLogLine();
    }
}
