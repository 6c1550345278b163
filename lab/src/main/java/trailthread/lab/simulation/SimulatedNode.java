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
 * A node in virtual time. It hosts one instance of the balancer under test, which receives events
 * and acts only through this node.
 */
final class SimulatedNode implements BalancerActions, FaultTarget.Node {
    /**
     * The most actions that one event may request, and the most events at one point in time. A
     * balancer that exceeds them is in an endless loop, and the run ends.
     */
    private static final int MAX_STEPS_AT_ONCE = 100_000;

    /** The most pending timers of a node; the run ends if the balancer sets more. */
    private static final int MAX_TIMERS = 2_000_000;

    private record IdleConnection(int serverIncarnation, long idleSince) {}

    /** An event for the balancer. */
    private interface BalancerEvent {
        void dispatch(BalancerEvents balancer, long now);
    }

    final int number;
    final String name;
    final String zone;
    private final Simulation simulation;
    private final Map<Long, SimulatedRequest> requests = new LinkedHashMap<>();
    private final Map<SimulatedServer, ArrayDeque<IdleConnection>> idleConnections =
            new LinkedHashMap<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private BalancerEvents balancer;
    private boolean runningActions;
    private int incarnation;
    private boolean up = true;
    private long pausedUntil;
    private long killedAt;
    private boolean draining;
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

    /** Starts the node with the present list of discovery as its cached list. */
    @Override
    public void start() {
        up = true;
        draining = false;
        incarnation++;
        Settings settings = simulation.settings(this);
        balancer =
                simulation
                        .policy()
                        .create(
                                settings,
                                simulation.streams().seedOf(name + " life " + incarnation),
                                simulation.now(),
                                this,
                                simulation.fleetView());
        receiveList(ListKind.CACHED, simulation.discovery().snapshot());
    }

    boolean isUp() {
        return up;
    }

    /**
     * Runs a task when the node is not paused: at once, or after the pause. A stopped node runs
     * none.
     */
    void deliver(Runnable task) {
        int expectedIncarnation = incarnation;
        if (pausedUntil > simulation.now()) {
            simulation
                    .eventQueue()
                    .scheduleAt(
                            pausedUntil,
                            () -> {
                                if (incarnation == expectedIncarnation) {
                                    task.run();
                                }
                            });
        } else if (up) {
            task.run();
        }
    }

    @Override
    public void pause(long durationNs) {
        pausedUntil = simulation.now() + durationNs;
    }

    boolean isPaused() {
        return pausedUntil > simulation.now();
    }

    @Override
    public boolean isServing() {
        return up && !draining;
    }

    /**
     * The frontend sends new requests to other nodes until this node is back. The node ends after
     * the longest deadline, by which it must have responded to all its requests.
     */
    @Override
    public void restart() {
        draining = true;
        int expectedIncarnation = incarnation;
        simulation
                .eventQueue()
                .scheduleAfter(
                        simulation.longestDeadline(),
                        () -> {
                            if (incarnation == expectedIncarnation) {
                                kill();
                                start();
                            }
                        });
    }

    @Override
    public void reload() {
        // the configuration has not changed
    }

    boolean isDraining() {
        return draining;
    }

    /** When the node was last killed. */
    long killedAt() {
        return killedAt;
    }

    @Override
    public void kill() {
        up = false;
        killedAt = simulation.now();
        watching = false;
        incarnation++;
        List<SimulatedRequest> openRequests = new ArrayList<>(requests.values());
        requests.clear();
        pendingActions.clear();
        timerCount = 0;
        idleConnections.forEach(
                (server, connections) ->
                        connections.forEach(
                                connection -> {
                                    if (connection.serverIncarnation
                                            == server.process().incarnation()) {
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

    private void notifyBalancer(BalancerEvent event) {
        long now = simulation.now();
        eventsAtSameTime = now == lastEventAt ? eventsAtSameTime + 1 : 0;
        lastEventAt = now;
        if (eventsAtSameTime > MAX_STEPS_AT_ONCE) {
            throw new BalancerFailureException(
                    now, number, "more than " + MAX_STEPS_AT_ONCE + " events without time passing");
        }
        long startedAt = System.nanoTime();
        event.dispatch(balancer, now);
        simulation.metrics().recordDecision(System.nanoTime() - startedAt);
        if (pendingActions.size() > MAX_STEPS_AT_ONCE) {
            throw new BalancerFailureException(
                    now, number, "one event requested more than " + MAX_STEPS_AT_ONCE + " actions");
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

    /** Receives a request whose client times out at this deadline. */
    void receiveRequest(ClientOperation operation, long deadline) {
        SimulatedRequest request = new SimulatedRequest(simulation.nextId(), operation, deadline);
        requests.put(request.id, request);
        var requestClass = operation.classModel().requestClass();
        simulation
                .checker()
                .requestReceived(
                        simulation.now(),
                        request.name,
                        name,
                        new RequestTerms(
                                requestClass.name(),
                                requestClass.idempotency(),
                                requestClass.deduplicationScope(),
                                requestClass.deduplicationWindowNs(),
                                deadline));
        long slack = simulation.scenario().rules().responseSlackNs();
        simulation.eventQueue().scheduleAt(deadline + slack + 1, () -> clientTimedOut(request));
        notifyBalancer(
                (balancer, now) ->
                        balancer.requestArrived(
                                now,
                                request.id,
                                requestClass.name(),
                                0,
                                deadline,
                                operation.tenant(),
                                false,
                                operation.key()));
    }

    /** The client has timed out. */
    private void clientTimedOut(SimulatedRequest request) {
        if (request.finished || !requests.containsKey(request.id)) {
            return;
        }
        if (isPaused()) {
            simulation
                    .checker()
                    .clientDisconnected(
                            simulation.now(), request.name); // a paused process can't respond
        } else {
            simulation.checker().deadlineMissed(simulation.now(), request.name);
        }
        request.finished = true;
        request.operation.attemptEnded(ClientOperation.AttemptResult.NO_RESPONSE, 0);
        deliver(
                () ->
                        notifyBalancer(
                                (balancer, now) -> balancer.clientDisconnected(now, request.id)));
        forgetIfDone(request);
    }

    /**
     * Handles the end of an attempt. The client gets its response before the balancer learns of the
     * outcome.
     */
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
                    notifyBalancer(
                            (balancer, now) ->
                                    balancer.attemptEnded(
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
            ClientOperation.AttemptResult result,
            long retryAfterNs,
            String description) {
        simulation.checker().responded(simulation.now(), request.name, description);
        if (!request.finished) {
            request.finished = true;
            request.operation.attemptEnded(result, retryAfterNs);
        }
        forgetIfDone(request);
    }

    private void forgetIfDone(SimulatedRequest request) {
        if (request.finished && request.currentAttempt == null) {
            requests.remove(request.id);
        }
    }

    /** Passes an endpoint list, whole or in part, to the balancer. */
    void receiveList(ListKind kind, List<EndpointEntry> entries) {
        for (EndpointEntry entry : entries) {
            simulation
                    .checker()
                    .endpointStateReceived(
                            simulation.now(),
                            name,
                            entry.endpoint(),
                            entry.state() == EndpointState.READY);
        }
        notifyBalancer((balancer, now) -> balancer.updateEndpointList(now, kind, entries));
    }

    // ---- connections

    /**
     * Takes the most recently used idle connection to the server; false if there is none. Drops the
     * connections that the server has closed.
     */
    boolean takeIdleConnection(SimulatedServer server) {
        ArrayDeque<IdleConnection> connections = idleConnections.get(server);
        if (connections == null) {
            return false;
        }
        long idleLimit = simulation.now() - simulation.network().idleCloseNs();
        for (IdleConnection oldest = connections.peekFirst();
                oldest != null
                        && (oldest.idleSince <= idleLimit
                                || oldest.serverIncarnation != server.process().incarnation());
                oldest = connections.peekFirst()) {
            connections.pollFirst();
            if (oldest.serverIncarnation == server.process().incarnation()) {
                server.connections--;
            }
        }
        return connections.pollLast() != null;
    }

    void keepIdleConnection(SimulatedServer server, int serverIncarnation) {
        if (server.process().incarnation() == serverIncarnation) {
            idleConnections
                    .computeIfAbsent(server, key -> new ArrayDeque<>())
                    .addLast(new IdleConnection(serverIncarnation, simulation.now()));
        }
    }

    // ---- actions

    private SimulatedServer server(String endpoint) {
        SimulatedServer server = simulation.server(endpoint);
        if (server == null) {
            throw new BalancerFailureException(
                    simulation.now(), number, "an endpoint that no list has named: " + endpoint);
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
                        return; // the request has just ended
                    }
                    int attempt = request.attempts++;
                    long remainingNs = request.deadline - simulation.now();
                    if (request.finished
                            || remainingNs <= 0
                            || request.currentAttempt != null
                            || attempt >= simulation.scenario().rules().maxAttempts()) {
                        notifyBalancer(
                                (balancer, now) ->
                                        balancer.attemptEnded(
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
                    request.currentAttempt.send(
                            timeoutNs == 0 ? remainingNs : Math.min(timeoutNs, remainingNs));
                });
    }

    @Override
    public void reject(long id, long retryAfterNs) {
        pendingActions.add(
                () -> {
                    SimulatedRequest request = requests.get(id);
                    if (request != null) {
                        simulation.metrics().recordRejection();
                        respond(
                                request,
                                ClientOperation.AttemptResult.REJECTED,
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
    public void setTimer(long delayNs, long token) {
        int expectedIncarnation = incarnation;
        if (++timerCount > MAX_TIMERS) {
            throw new BalancerFailureException(
                    simulation.now(), number, "more than " + MAX_TIMERS + " timers");
        }
        simulation
                .eventQueue()
                .scheduleAfter(
                        delayNs,
                        () -> {
                            if (incarnation == expectedIncarnation) {
                                timerCount--;
                                deliver(
                                        () ->
                                                notifyBalancer(
                                                        (balancer, now) ->
                                                                balancer.timerFired(now, token)));
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
                    long timeoutNs = simulation.healthCheckTimeoutNs();
                    simulation
                            .eventQueue()
                            .scheduleAfter(
                                    timeoutNs,
                                    () ->
                                            healthChecked(
                                                    server,
                                                    Outcome.TIMEOUT,
                                                    timeoutNs,
                                                    null,
                                                    finished));
                    simulation.transmit(
                            this,
                            server,
                            () -> {
                                if (!server.process().isUp()) {
                                    simulation.transmit(
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
                                                        simulation.transmit(
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
                            notifyBalancer(
                                    (balancer, now) ->
                                            balancer.healthChecked(
                                                    now, server.name, outcome, latencyNs, load)));
        }
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        pendingActions.add(
                () -> {
                    SimulatedServer server = server(endpoint);
                    ArrayDeque<IdleConnection> connections = idleConnections.remove(server);
                    if (connections != null) {
                        server.connections -=
                                (int)
                                        connections.stream()
                                                .filter(
                                                        connection ->
                                                                connection.serverIncarnation
                                                                        == server.process()
                                                                                .incarnation())
                                                .count();
                    }
                });
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new BalancerFailureException(
                simulation.now(), number, "a message to a peer, which simulated nodes can't send");
    }

    @Override
    public void watchList(boolean on) {
        pendingActions.add(() -> simulation.discovery().watch(this, on));
    }

    @Override
    public void fetchList() {
        pendingActions.add(() -> simulation.discovery().fetch(this));
    }

    @Override
    public void log(String text) {
        simulation.metrics().recordLogLine();
    }
}
