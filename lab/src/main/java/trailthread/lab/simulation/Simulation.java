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
import trailthread.lab.scenario.Scenario.NetworkLaw;

/**
 * A day in virtual time: clients, nodes with the decisions under test, the network, servers, the
 * discovery and what goes wrong. One seed gives one history. Runs on the thread that calls it and
 * shares nothing, so that many can run at once.
 */
public final class Simulation implements RequestSink, FaultTarget {
    /** Virtual clocks begin at an odd time, so that nothing rests on zero. */
    private static final long BEGIN = 1_000_000_000_000L;

    /** How long the front of the nodes goes on sending to one that has died. */
    private static final long FRONT_LEARNS_NS = 500_000_000L;

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
    private final UniformRandomProvider network;
    private final UniformRandomProvider speeds;
    private long lastId;
    private long serials;
    private String isolatedZone;

    private Simulation(Scenario scenario, Policy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        streams = new RandomStreams(seed);
        checker =
                new InvariantChecker(
                        scenario.rules().responseSlackNs(), scenario.rules().drainGraceNs());
        metrics = new RunMetrics(BEGIN, BEGIN + scenario.warmUpNs());
        network = streams.stream("network");
        speeds = streams.stream("speeds");
        discovery = new SimulatedDiscovery(this);
        clients = new ClientPopulation(eventQueue, streams, scenario, metrics, this);
    }

    /** What came of a day, and how it was judged. */
    public record Day(
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
    public static Day play(Scenario scenario, Policy policy, long seed) {
        long begun = System.nanoTime();
        Simulation world = new Simulation(scenario, policy, seed);
        world.run();
        return new Day(
                world.metrics,
                world.checker,
                world.eventQueue.executedCount(),
                System.nanoTime() - begun,
                world.servers.stream().map(w -> w.name).toList());
    }

    private void run() {
        for (int i = 0; i < scenario.fleet().servers(); i++) {
            addServer(scenario.zones().get(i % scenario.zones().size()), i, false);
        }
        for (int i = 0; i < scenario.nodes(); i++) {
            nodes.add(
                    new SimulatedNode(this, i, scenario.zones().get(i % scenario.zones().size())));
        }
        nodes.forEach(SimulatedNode::start);
        FaultInjector.arrange(eventQueue, streams, scenario.faults(), this);
        long end = BEGIN + scenario.lengthNs();
        clients.begin(end);
        sample(end);
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
                fleet.law().at(RandomStreams.uniform(speeds, fleet.speedLow(), fleet.speedHigh()));
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
        SimulatedNode node = chosen(scenario.zones().get(zone), draw);
        if (node == null || !node.isUp()) {
            operation.attemptEnded(ClientOperation.AttemptResult.UNREACHABLE, 0);
        } else {
            boolean[] heard = new boolean[1];
            node.input(
                    () -> {
                        if (now() <= clientTimeoutAt) { // else its client has left, before a node
                            // that was
                            // stopped came to read it
                            heard[0] = true;
                            node.receiveRequest(operation, clientTimeoutAt);
                        }
                    });
            if (!heard[0]) {
                eventQueue.scheduleAt(
                        clientTimeoutAt + 1,
                        () -> {
                            if (!heard[0]) {
                                operation.attemptEnded(
                                        ClientOperation.AttemptResult.NO_RESPONSE, 0);
                            }
                        });
            }
        }
    }

    /** One of the zone's, or, if its front knows of none there, of all; null: there is none. */
    private SimulatedNode chosen(String zone, double draw) {
        int near = 0;
        int all = 0;
        for (SimulatedNode node : nodes) {
            if (frontKnows(node)) {
                all++;
                near += node.zone.equals(zone) ? 1 : 0;
            }
        }
        int left = (int) (draw * (near > 0 ? near : all));
        for (SimulatedNode node : nodes) {
            if (frontKnows(node) && (near == 0 || node.zone.equals(zone)) && left-- == 0) {
                return node;
            }
        }
        return null;
    }

    private boolean frontKnows(SimulatedNode node) {
        return (node.isUp() && !node.isLeaving())
                || (!node.isUp() && eventQueue.now() - node.diedAt() < FRONT_LEARNS_NS);
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

    NetworkLaw network() {
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
        return ++serials;
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
                .mapToLong(c -> c.rules().deadlineNs())
                .max()
                .orElseThrow();
    }

    /** What takes longer to tell its load than the tightest aim is fit for nothing just now. */
    long probeWithinNs() {
        return scenario.classes().stream()
                .mapToLong(c -> c.rules().latencyObjectiveNs())
                .min()
                .orElseThrow();
    }

    void travel(SimulatedNode from, SimulatedServer to, Runnable task) {
        travel(from.zone, to.zone, to, task);
    }

    void travel(SimulatedServer from, SimulatedNode to, Runnable task) {
        travel(from.zone, to.zone, from, () -> to.input(task));
    }

    /** One way over the network, if there is one. */
    private void travel(String from, String to, SimulatedServer server, Runnable task) {
        boolean far = !from.equals(to);
        if (server.process().ills.cut
                || (far
                        && isolatedZone != null
                        && (from.equals(isolatedZone) || to.equals(isolatedZone)))) {
            return; // nothing is said
        }
        NetworkLaw law = scenario.network();
        double delay =
                (far ? law.farNs() : law.nearNs()) * (1 + law.jitter() * network.nextDouble());
        eventQueue.scheduleAfter((long) delay, task);
    }

    Settings settings(SimulatedNode node) {
        Settings s = new Settings();
        var rules = scenario.rules();
        s.tickNs = 1;
        s.nodeIndex = node.number;
        s.nodes = scenario.nodes();
        s.zone = node.zone;
        scenario.classes().forEach(c -> s.classes.add(c.rules()));
        s.tenants.addAll(scenario.tenants());
        s.crossZonePrice = rules.crossZonePrice();
        s.mayCancel = true;
        s.mayCheckHealth = rules.probes();
        s.maxAttempts = rules.maxAttempts();
        s.retryAfter = rules.maxRetryAfterNs() > 0;
        s.maxRetryAfterNs = rules.maxRetryAfterNs();
        s.connectTimeoutNs = network().dialNs();
        s.listIsPolled = true;
        s.reports = scenario.fleet().reports() ? LoadReportSource.RESPONSES : LoadReportSource.NONE;
        s.responseSlackNs = rules.responseSlackNs();
        var cold = scenario.fleet().law().cold();
        s.slowStartInitialShare = cold.share();
        s.slowStartNs = cold.warmNs();
        s.overloadMultiple = Math.min(1e6, cold.multiple());
        s.overloadWindowNs = cold.deduplicationWindowNs();
        return s;
    }

    FleetView truth() {
        return new FleetView() {
            private final double meanWork = scenario.meanWorkNs();

            @Override
            public double meanWorkNs() {
                return meanWork;
            }

            @Override
            public double stretch(String name) {
                SimulatedServer w = byName.get(name);
                boolean well =
                        w.process().isUp()
                                && w.process().ills.none()
                                && w.state == EndpointState.READY;
                return well
                        ? w.process().model().stretch(now(), w.arriving)
                        : Double.POSITIVE_INFINITY;
            }
        };
    }

    private void sample(long end) {
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
