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
 * A day in virtual time: clients, nodes with the decisions under test, the network, servers, the
 * discovery and what goes wrong. One seed gives one history. Runs on the thread that calls it and
 * shares nothing, so that many can run at once.
 */
public final class Simulation implements RequestSink, FaultTarget {
    /** Virtual clocks begin at an odd time, so that nothing rests on zero. */
    private static final long BEGIN = 1_000_000_000_000L;

    /** How long the front of the nodes goes on sending to one that has died. */
    private static final long FRONTEND_DETECTION_NS = 500_000_000L;

    private static final long SECOND = 1_000_000_000L;

    private final Scenario scenario;
    private final Policy policy;
    private final RandomStreams streams;
    private final EventQueue eventQueue = new EventQueue(BEGIN);
    private final InvariantChecker checker;
    private final RunMetrics metrics;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<String, SimulatedServer> byName = new HashMap<>();
    private final SimulatedDiscovery discovery;
    private final ClientPopulation clients;
    private final UniformRandomProvider networkRandom;
    private final UniformRandomProvider speedRandom;
    private long lastId;
    private long lastSerial;
    private String isolatedZone;

    private Simulation(Scenario scenario, Policy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        streams = new RandomStreams(seed);
        checker =
                new InvariantChecker(
                        scenario.rules().responseSlackNs(), scenario.rules().drainGraceNs());
        metrics = new RunMetrics(BEGIN, BEGIN + scenario.warmUpNs());
        networkRandom = streams.stream("network");
        speedRandom = streams.stream("speeds");
        discovery = new SimulatedDiscovery(this);
        clients = new ClientPopulation(eventQueue, streams, scenario, metrics, this);
    }

    /** What came of a day, and how it was judged. */
    public record RunResult(
            RunMetrics metrics,
            InvariantChecker checker,
            long events,
            long wallNs,
            List<String> servers) {}

    /**
     * Plays a day.
     *
     * @throws BalancerFailureException if the decisions ask for what nobody can do
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
                simulation.servers.stream().map(w -> w.name).toList());
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
        long end = BEGIN + scenario.durationNs();
        clients.begin(end);
        sampleEachSecond(end);
        // After the last arrival it runs on until all is answered.
        for (long until = end + 2 * longestDeadline() + SECOND;
                eventQueue.now() < until
                        && (eventQueue.now() < end || clients.openOperations() > 0); ) {
            eventQueue.runUntil(Math.min(until, eventQueue.now() + SECOND));
        }
        checker.finish(eventQueue.now());
    }

    /** A server under a new name. */
    void addServer(String zone, int place, boolean cold) {
        var fleet = scenario.fleet();
        ServerLimits own =
                fleet.limits()
                        .withSpeedFactor(
                                RandomStreams.uniform(
                                        speedRandom, fleet.speedLow(), fleet.speedHigh()));
        int cell = fleet.cells() > 0 ? place % fleet.cells() : -1;
        SimulatedServer server =
                new SimulatedServer(
                        this, "w" + servers.size(), servers.size(), zone, cell, own, cold);
        servers.add(server);
        byName.put(server.name, server);
        discovery.add(server);
    }

    // ---- the front of the nodes
    // ---------------------------------------------------------------------

    @Override
    public void startAttempt(
            ClientOperation operation, int zone, double draw, long clientTimeoutAt) {
        SimulatedNode node = chooseNode(scenario.zones().get(zone), draw);
        if (node == null || !node.isUp()) {
            operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
        } else {
            boolean[] received = new boolean[1];
            node.deliver(
                    () -> {
                        if (now() <= clientTimeoutAt) { // else its client has left, before a node
                            // that was
                            // stopped came to read it
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

    /** One of the zone's, or, if its front knows of none there, of all; null: there is none. */
    private SimulatedNode chooseNode(String zone, double draw) {
        int near = 0;
        int all = 0;
        for (SimulatedNode node : nodes) {
            if (isRouted(node)) {
                all++;
                near += node.zone.equals(zone) ? 1 : 0;
            }
        }
        int left = (int) (draw * (near > 0 ? near : all));
        for (SimulatedNode node : nodes) {
            if (isRouted(node) && (near == 0 || node.zone.equals(zone)) && left-- == 0) {
                return node;
            }
        }
        return null;
    }

    private boolean isRouted(SimulatedNode node) {
        return (node.isUp() && !node.isLeaving())
                || (!node.isUp() && eventQueue.now() - node.diedAt() < FRONTEND_DETECTION_NS);
    }

    // ---- what the parts need
    // -----------------------------------------------------------------------

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
        return byName.get(name);
    }

    long nextId() {
        return ++lastId;
    }

    long nextSerial() {
        return ++lastSerial;
    }

    @Override
    public void setHeavyTail(double share, double times) {
        clients.setHeavyTail(share, times);
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

    /** What takes longer to tell its load than the tightest aim is fit for nothing just now. */
    long healthCheckTimeoutNs() {
        return scenario.classes().stream()
                .mapToLong(c -> c.requestClass().latencyObjectiveNs())
                .min()
                .orElseThrow();
    }

    void travel(SimulatedNode from, SimulatedServer to, Runnable task) {
        travel(from.zone, to.zone, to, task);
    }

    void travel(SimulatedServer from, SimulatedNode to, Runnable task) {
        travel(from.zone, to.zone, from, () -> to.deliver(task));
    }

    /** One way over the network, if there is one. */
    private void travel(String from, String to, SimulatedServer server, Runnable task) {
        boolean far = !from.equals(to);
        if (server.process().faults.isolated
                || (far
                        && isolatedZone != null
                        && (from.equals(isolatedZone) || to.equals(isolatedZone)))) {
            return; // nothing is said
        }
        NetworkModel model = scenario.network();
        double delay =
                (far ? model.crossZoneDelayNs() : model.sameZoneDelayNs())
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
                SimulatedServer w = byName.get(name);
                boolean well =
                        w.process().isUp()
                                && w.process().faults.noneActive()
                                && w.state == EndpointState.READY;
                return well
                        ? w.process().model().expectedSlowdown(now(), w.arriving)
                        : Double.POSITIVE_INFINITY;
            }
        };
    }

    private void sampleEachSecond(long end) {
        for (long at = BEGIN + SECOND - 1; at < end; at += SECOND) {
            eventQueue.scheduleAt(
                    at,
                    () -> {
                        int[] held = new int[servers.size()];
                        for (int i = 0; i < held.length; i++) {
                            held[i] = servers.get(i).process().inflight();
                        }
                        metrics.recordInflight(now(), held);
                    });
        }
    }
}
