package trailthread.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.api.EndpointState;
import trailthread.api.LoadReportSource;
import trailthread.api.Settings;
import trailthread.lab.baseline.FleetView;
import trailthread.lab.baseline.Policy;
import trailthread.lab.clients.ClientOperation;
import trailthread.lab.clients.ClientPopulation;
import trailthread.lab.clients.RequestSink;
import trailthread.lab.event.EventQueue;
import trailthread.lab.fault.FaultInjector;
import trailthread.lab.fault.FaultTarget;
import trailthread.lab.invariant.InvariantChecker;
import trailthread.lab.metrics.RunMetrics;
import trailthread.lab.model.ServerLimits;
import trailthread.lab.random.RandomStreams;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.Scenario.NetworkModel;

/**
 * A run in virtual time: clients, nodes with the balancer under test, network, servers, discovery
 * and faults. One seed gives one history. A simulation runs on the calling thread and shares no
 * state, so many simulations can run at once.
 */
public final class Simulation implements RequestSink, FaultTarget {
    /** Virtual time does not begin at 0, so that no code can rely on a clock that does. */
    private static final long START_TIME = 1_000_000_000_000L;

    /** How long the frontend of the nodes continues to send to a node that was killed. */
    private static final long FRONTEND_DETECTION_NS = 500_000_000L;

    private static final long SECOND = 1_000_000_000L;

    private final Scenario scenario;
    private final Policy policy;
    private final RandomStreams streams;
    private final EventQueue eventQueue = new EventQueue(START_TIME);
    private final InvariantChecker checker;
    private final RunMetrics metrics;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<String, SimulatedServer> serversByName = new HashMap<>();
    private final SimulatedDiscovery discovery;
    private final ClientPopulation clients;
    private final UniformRandomProvider networkRandom;
    private final UniformRandomProvider speedRandom;
    private long lastId;
    private String isolatedZone;

    private Simulation(Scenario scenario, Policy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        streams = new RandomStreams(seed);
        checker =
                new InvariantChecker(
                        scenario.rules().responseSlackNs(), scenario.rules().drainGraceNs());
        metrics = new RunMetrics(START_TIME, START_TIME + scenario.warmUpNs());
        networkRandom = streams.stream("network");
        speedRandom = streams.stream("speeds");
        discovery = new SimulatedDiscovery(this);
        clients = new ClientPopulation(eventQueue, streams, scenario, metrics, this);
    }

    /** The metrics of a run and the violations that were found. */
    public record RunResult(
            RunMetrics metrics,
            InvariantChecker checker,
            long events,
            long wallNs,
            List<String> servers) {}

    /**
     * Simulates a run.
     *
     * @throws BalancerFailureException if the balancer requests an impossible action or gets into
     *     an endless loop
     */
    public static RunResult run(Scenario scenario, Policy policy, long seed) {
        long startedAt = System.nanoTime();
        Simulation simulation = new Simulation(scenario, policy, seed);
        simulation.runToEnd();
        return new RunResult(
                simulation.metrics,
                simulation.checker,
                simulation.eventQueue.executedCount(),
                System.nanoTime() - startedAt,
                simulation.servers.stream().map(server -> server.name).toList());
    }

    private void runToEnd() {
        for (int i = 0; i < scenario.fleet().servers(); i++) {
            addServer(scenario.zones().get(i % scenario.zones().size()), i, false);
        }
        for (int i = 0; i < scenario.nodes(); i++) {
            nodes.add(
                    new SimulatedNode(this, i, scenario.zones().get(i % scenario.zones().size())));
        }
        nodes.forEach(SimulatedNode::start);
        FaultInjector.schedule(eventQueue, streams, scenario.faults(), this);
        long end = START_TIME + scenario.durationNs();
        clients.begin(end);
        sampleEachSecond(end);
        // Continues after the last arrival until all operations have ended.
        for (long until = end + 2 * longestDeadline() + SECOND;
                eventQueue.now() < until
                        && (eventQueue.now() < end || clients.openOperations() > 0); ) {
            eventQueue.runUntil(Math.min(until, eventQueue.now() + SECOND));
        }
        checker.finish(eventQueue.now());
    }

    /** Adds a server with a new name; its cell is {@code cellIndex} modulo the number of cells. */
    void addServer(String zone, int cellIndex, boolean cold) {
        var fleet = scenario.fleet();
        ServerLimits ownLimits =
                fleet.limits()
                        .withSpeedFactor(
                                RandomStreams.uniform(
                                        speedRandom, fleet.speedLow(), fleet.speedHigh()));
        int cell = fleet.cells() > 0 ? cellIndex % fleet.cells() : -1;
        SimulatedServer server =
                new SimulatedServer(
                        this, "w" + servers.size(), servers.size(), zone, cell, ownLimits, cold);
        servers.add(server);
        serversByName.put(server.name, server);
        discovery.add(server);
    }

    // ---- frontend of the nodes

    @Override
    public void startAttempt(
            ClientOperation operation, int zoneIndex, double nodeChoice, long clientTimeoutAt) {
        SimulatedNode node = chooseNode(scenario.zones().get(zoneIndex), nodeChoice);
        if (node == null || !node.isUp()) {
            operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
        } else {
            boolean[] received = new boolean[1];
            node.deliver(
                    () -> {
                        // A client that timed out during a pause has disconnected before the node
                        // could read its request.
                        if (now() <= clientTimeoutAt) {
                            received[0] = true;
                            node.receiveRequest(operation, clientTimeoutAt);
                        }
                    });
            if (!received[0]) {
                eventQueue.scheduleAt(
                        clientTimeoutAt + 1,
                        () -> {
                            if (!received[0]) {
                                operation.attemptEnded(
                                        ClientOperation.AttemptResult.NO_RESPONSE, 0);
                            }
                        });
            }
        }
    }

    /**
     * Chooses a node of the zone, or of any zone if the frontend routes to none there; null if it
     * routes to no node.
     */
    private SimulatedNode chooseNode(String zone, double draw) {
        int inZone = 0;
        int all = 0;
        for (SimulatedNode node : nodes) {
            if (isRouted(node)) {
                all++;
                inZone += node.zone.equals(zone) ? 1 : 0;
            }
        }
        int left = (int) (draw * (inZone > 0 ? inZone : all));
        for (SimulatedNode node : nodes) {
            if (isRouted(node) && (inZone == 0 || node.zone.equals(zone)) && left-- == 0) {
                return node;
            }
        }
        return null;
    }

    private boolean isRouted(SimulatedNode node) {
        return (node.isUp() && !node.isDraining())
                || (!node.isUp() && eventQueue.now() - node.killedAt() < FRONTEND_DETECTION_NS);
    }

    // ---- used by the parts of the simulation

    long now() {
        return eventQueue.now();
    }

    EventQueue eventQueue() {
        return eventQueue;
    }

    RandomStreams streams() {
        return streams;
    }

    Scenario scenario() {
        return scenario;
    }

    NetworkModel network() {
        return scenario.network();
    }

    Policy policy() {
        return policy;
    }

    InvariantChecker checker() {
        return checker;
    }

    RunMetrics metrics() {
        metrics.setClock(eventQueue.now());
        return metrics;
    }

    SimulatedDiscovery discovery() {
        return discovery;
    }

    @Override
    public List<SimulatedNode> nodes() {
        return nodes;
    }

    @Override
    public List<SimulatedServer> servers() {
        return servers;
    }

    SimulatedServer server(String name) {
        return serversByName.get(name);
    }

    long nextId() {
        return ++lastId;
    }

    @Override
    public void setHeavyTail(double share, double factor) {
        clients.setHeavyTail(share, factor);
    }

    @Override
    public void setDiscoveryDown(boolean down) {
        discovery.setDown(down);
    }

    @Override
    public void isolateZone(String zone) {
        isolatedZone = zone;
    }

    long longestDeadline() {
        return scenario.classes().stream()
                .mapToLong(c -> c.requestClass().deadlineNs())
                .max()
                .orElseThrow();
    }

    /**
     * The timeout of a health check. A server that takes longer to respond than the strictest
     * latency objective allows could not serve a request in time now.
     */
    long healthCheckTimeoutNs() {
        return scenario.classes().stream()
                .mapToLong(c -> c.requestClass().latencyObjectiveNs())
                .min()
                .orElseThrow();
    }

    void transmit(SimulatedNode from, SimulatedServer to, Runnable task) {
        transmit(from.zone, to.zone, to, task);
    }

    void transmit(SimulatedServer from, SimulatedNode to, Runnable task) {
        transmit(from.zone, to.zone, from, () -> to.deliver(task));
    }

    /** Runs the task after one network delay, unless a fault isolates the server or a zone. */
    private void transmit(String from, String to, SimulatedServer server, Runnable task) {
        boolean crossZone = !from.equals(to);
        if (server.process().faults.isolated
                || (crossZone
                        && isolatedZone != null
                        && (from.equals(isolatedZone) || to.equals(isolatedZone)))) {
            return; // dropped without an error
        }
        NetworkModel model = scenario.network();
        double delay =
                (crossZone ? model.crossZoneDelayNs() : model.sameZoneDelayNs())
                        * (1 + model.jitter() * networkRandom.nextDouble());
        eventQueue.scheduleAfter((long) delay, task);
    }

    Settings settings(SimulatedNode node) {
        Settings s = new Settings();
        var rules = scenario.rules();
        s.tickNs = 1;
        s.nodeIndex = node.number;
        s.nodes = scenario.nodes();
        s.zone = node.zone;
        scenario.classes().forEach(c -> s.classes.add(c.requestClass()));
        s.tenants.addAll(scenario.tenants());
        s.crossZonePrice = rules.crossZonePrice();
        s.mayCancel = true;
        s.mayCheckHealth = rules.healthChecks();
        s.maxAttempts = rules.maxAttempts();
        s.retryAfter = rules.maxRetryAfterNs() > 0;
        s.maxRetryAfterNs = rules.maxRetryAfterNs();
        s.connectTimeoutNs = network().connectTimeoutNs();
        s.listIsPolled = true;
        s.reports =
                scenario.fleet().reportsLoad() ? LoadReportSource.RESPONSES : LoadReportSource.NONE;
        s.responseSlackNs = rules.responseSlackNs();
        var cold = scenario.fleet().limits().cold();
        s.slowStartInitialShare = cold.share();
        s.slowStartNs = cold.warmNs();
        s.overloadMultiple = Math.min(1e6, cold.overloadMultiple());
        s.overloadWindowNs = cold.windowNs();
        return s;
    }

    FleetView fleetView() {
        return new FleetView() {
            private final double meanWork = scenario.meanWorkNs();

            @Override
            public double meanWorkNs() {
                return meanWork;
            }

            @Override
            public double expectedSlowdown(String name) {
                SimulatedServer server = serversByName.get(name);
                boolean available =
                        server.process().isUp()
                                && server.process().faults.noneActive()
                                && server.state == EndpointState.READY;
                return available
                        ? server.process().model().expectedSlowdown(now(), server.arriving)
                        : Double.POSITIVE_INFINITY;
            }
        };
    }

    private void sampleEachSecond(long end) {
        for (long at = START_TIME + SECOND - 1; at < end; at += SECOND) {
            eventQueue.scheduleAt(
                    at,
                    () -> {
                        int[] inflight = new int[servers.size()];
                        for (int i = 0; i < inflight.length; i++) {
                            inflight[i] = servers.get(i).process().inflight();
                        }
                        metrics.recordInflight(now(), inflight);
                    });
        }
    }
}
