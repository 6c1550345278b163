package trailthread.lab.emulation;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.tomlj.Toml;
import trailthread.lab.clients.ClientPopulation;
import trailthread.lab.event.EventQueue;
import trailthread.lab.fault.FaultInjector;
import trailthread.lab.fault.FaultTarget;
import trailthread.lab.invariant.InvariantChecker;
import trailthread.lab.metrics.RunMetrics;
import trailthread.lab.model.ServerLimits;
import trailthread.lab.random.RandomStreams;
import trailthread.lab.scenario.Scenario;

/**
 * Runs a scenario in real time on sockets: emulated servers and discovery on loopback and, where
 * the caller starts them, emulated clients and real node processes. Everything except the nodes
 * runs on one thread. It connects to loopback addresses only.
 */
public final class Emulation implements FaultTarget, Closeable {
    private static final long SECOND = 1_000_000_000L;
    private static final long START_TIMEOUT_NS = 30 * SECOND;

    /** How much later than a node the lab may observe an event on a socket. */
    private static final long OBSERVATION_SLACK_NS = 50_000_000L;

    private static final int MAX_REMEMBERED_REQUESTS = 200_000;

    /** The number of attempts of a request so far, and the server that received the last one. */
    private static final class RequestAttempts {
        private int count;
        private EmulatedServer lastServer;
    }

    /**
     * The command that starts a node.
     *
     * @param root the working directory
     */
    public record Program(List<String> command, Path root) {
        /**
         * The command that the platform uses, from the deploy file of a checkout.
         *
         * @throws IOException if the deploy file is missing or has no run command
         */
        public static Program fromCheckout(Path root) throws IOException {
            String run =
                    Toml.parse(root.resolve("deploy").resolve("balancer.toml")).getString("run");
            if (run == null) {
                throw new IOException("no run command in deploy/balancer.toml of " + root);
            }
            List<String> command = new ArrayList<>(List.of(run.strip().split(" +")));
            command.remove("exec");
            return new Program(command, root);
        }
    }

    /**
     * The resource usage of each node at the end of a second; {@code cpuSeconds} since its start.
     */
    public record NodeUsage(double[] rssMb, int[] descriptors, double[] cpuSeconds) {}

    private final Scenario scenario;
    private final EmulationLoop loop = new EmulationLoop();
    private final RandomStreams streams;
    private final List<EmulatedServer> servers = new ArrayList<>();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<NodeUsage> nodeUsageBySecond = new ArrayList<>();
    private final EmulatedDiscovery discovery;
    private final UniformRandomProvider speedRandom;
    private final int nodeCount;
    private final long unixOffsetNs = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private final Map<String, RequestAttempts> attempts =
            new LinkedHashMap<>(1024, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, RequestAttempts> eldest) {
                    return size() > MAX_REMEMBERED_REQUESTS;
                }
            };
    private InvariantChecker checker;
    private RunMetrics metrics;
    private HttpClients httpClients;
    private ClientPopulation clients;
    private long lastRequestId = System.nanoTime() << 8 & 0xfffffffffffffL;

    /**
     * Starts servers and discovery.
     *
     * @param nodeCount the number of nodes; servers and discovery have separate addresses for each
     */
    public Emulation(Scenario scenario, long seed, int nodeCount) throws IOException {
        this.scenario = scenario;
        this.nodeCount = nodeCount;
        streams = new RandomStreams(seed);
        speedRandom = streams.stream("speeds");
        metrics = new RunMetrics(loop.eventQueue().now(), Long.MAX_VALUE);
        discovery = new EmulatedDiscovery(this, nodeCount);
        for (int i = 0; i < scenario.fleet().servers(); i++) {
            addServer(scenario.zones().get(i % scenario.zones().size()), i, false);
        }
    }

    /** The address at which the node of this number reaches discovery. */
    public String discoveryAddress(int node) {
        return discovery.hostPort(node);
    }

    /** The addresses at which the node of this number reaches the servers. */
    public List<String> serverAddresses(int node) {
        return servers.stream().map(server -> server.hostPort(node)).toList();
    }

    /** The event loop, which measures how late events ran on this machine. */
    public EmulationLoop loop() {
        return loop;
    }

    /** The metrics of the run so far. */
    public RunMetrics metrics() {
        metrics.setClock(now());
        return metrics;
    }

    /** The invariant checker; null unless nodes were started or given as targets. */
    public InvariantChecker checker() {
        return checker;
    }

    /** The resource usage of the nodes, by second of the run. */
    public List<NodeUsage> nodeUsageBySecond() {
        return nodeUsageBySecond;
    }

    /** The most client connections that were open at once. */
    public int maxClientConnections() {
        return httpClients == null ? 0 : httpClients.maxOpenConnections();
    }

    /**
     * Starts real nodes and waits until they are ready; their logs go to files in the directory.
     */
    public void startNodes(Program program, Path directory) throws IOException {
        checker =
                new InvariantChecker(
                        scenario.rules().responseSlackNs() + OBSERVATION_SLACK_NS,
                        scenario.rules().drainGraceNs() + OBSERVATION_SLACK_NS);
        Files.createDirectories(directory);
        createHttpClients();
        for (int i = 0; i < nodeCount; i++) {
            int port;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            HttpClients.TargetNode target =
                    httpClients.add(scenario.zones().get(i % scenario.zones().size()), port);
            target.admitted = false;
            NodeProcess node = new NodeProcess(this, i, target.zone, directory, program, target);
            nodes.add(node);
            node.start();
        }
        long startDeadline = System.nanoTime() + START_TIMEOUT_NS;
        while (!httpClients.allAdmitted()) {
            if (System.nanoTime() > startDeadline || nodes.stream().anyMatch(n -> !n.isRunning())) {
                throw new IOException(
                        "a node has exited or is not ready after 30 s; see its log in "
                                + directory);
            }
            loop.runUntil(System.nanoTime() + SECOND / 20);
        }
    }

    private void createHttpClients() {
        httpClients =
                new HttpClients(
                        loop,
                        checker,
                        scenario.rules().responseSlackNs(),
                        scenario.zones(),
                        () -> ++lastRequestId);
    }

    /**
     * Makes running nodes the targets of the clients. Their servers are not part of this emulation,
     * so the checker sees only the responses.
     */
    public void targetNodes(List<Integer> ports) {
        checker =
                new InvariantChecker(
                        scenario.rules().responseSlackNs() + OBSERVATION_SLACK_NS,
                        Long.MAX_VALUE / 4); // drains are not checked
        createHttpClients();
        for (int i = 0; i < ports.size(); i++) {
            httpClients.add(scenario.zones().get(i % scenario.zones().size()), ports.get(i));
        }
    }

    /** Opens this many client connections to each node before the run. */
    public void preconnect(int connectionsPerNode) throws IOException {
        httpClients.preconnect(connectionsPerNode);
        loop.runUntil(System.nanoTime() + SECOND / 2);
    }

    /**
     * Runs the scenario, starting now.
     *
     * @param withFaults whether the faults of the scenario occur
     * @param everySecond called at the end of each second, to report progress
     */
    public void run(boolean withFaults, Consumer<Emulation> everySecond) throws IOException {
        long begin = now();
        metrics = new RunMetrics(begin, begin + scenario.warmUpNs());
        loop.latenessUs().reset();
        if (httpClients != null) {
            clients = new ClientPopulation(eventQueue(), streams, scenario, metrics, httpClients);
            clients.begin(begin + scenario.durationNs());
        }
        if (withFaults) {
            FaultInjector.schedule(eventQueue(), streams, scenario.faults(), this);
        }
        sampleEachSecond(begin + scenario.durationNs(), everySecond);
        applyIsolation(begin + scenario.durationNs());
        long longestDeadline =
                scenario.classes().stream()
                        .mapToLong(c -> c.requestClass().deadlineNs())
                        .max()
                        .orElse(0);
        long end = begin + scenario.durationNs();
        loop.runUntil(end);
        while (System.nanoTime() < end + 2 * longestDeadline
                && clients != null
                && clients.openOperations() > 0) {
            loop.runUntil(System.nanoTime() + SECOND / 20);
        }
        if (checker != null) {
            checker.finish(now());
        }
    }

    private void sampleEachSecond(long end, Consumer<Emulation> everySecond) {
        eventQueue()
                .scheduleAfter(
                        SECOND,
                        () -> {
                            metrics.recordInflight(
                                    now() - 1,
                                    servers.stream()
                                            .mapToInt(server -> server.process().inflight())
                                            .toArray());
                            List<NodeProcess.ResourceUsage> usage =
                                    nodes.stream().map(NodeProcess::resourceUsage).toList();
                            nodeUsageBySecond.add(
                                    new NodeUsage(
                                            usage.stream()
                                                    .mapToDouble(NodeProcess.ResourceUsage::rssMb)
                                                    .toArray(),
                                            usage.stream()
                                                    .mapToInt(
                                                            NodeProcess.ResourceUsage::descriptors)
                                                    .toArray(),
                                            usage.stream()
                                                    .mapToDouble(
                                                            NodeProcess.ResourceUsage::cpuSeconds)
                                                    .toArray()));
                            everySecond.accept(this);
                            if (now() + SECOND <= end) {
                                sampleEachSecond(end, everySecond);
                            }
                        });
    }

    /**
     * Applies isolation faults to the connections of the servers, every 10 ms until {@code end}.
     */
    private void applyIsolation(long end) {
        servers.forEach(EmulatedServer::applyIsolation);
        if (now() < end) {
            eventQueue().scheduleAfter(SECOND / 100, () -> applyIsolation(end));
        }
    }

    /** Passes an event to the invariant checker, if there is one. */
    void check(Consumer<InvariantChecker> event) {
        if (checker != null) {
            event.accept(checker);
        }
    }

    long now() {
        return eventQueue().now();
    }

    /** The Unix time of a time of the event queue, in ms; 0 stays 0. */
    long unixMs(long at) {
        return at == 0 ? 0 : (at + unixOffsetNs) / 1_000_000;
    }

    EventQueue eventQueue() {
        return loop.eventQueue();
    }

    RandomStreams streams() {
        return streams;
    }

    Scenario scenario() {
        return scenario;
    }

    EmulatedDiscovery discovery() {
        return discovery;
    }

    int nodeCount() {
        return nodeCount;
    }

    /**
     * Returns the number of an attempt that has arrived. First reads the connection of the previous
     * attempt, so that the checker learns of its end before the new attempt.
     */
    int nextAttempt(String requestId, EmulatedServer server) {
        RequestAttempts requestAttempts =
                attempts.computeIfAbsent(requestId, id -> new RequestAttempts());
        if (requestAttempts.lastServer != null) {
            requestAttempts.lastServer.readConnectionOf(requestId);
        }
        requestAttempts.lastServer = server;
        return requestAttempts.count++;
    }

    /** Adds a server with a new name. */
    void addServer(String zone, int index, boolean cold) {
        var fleet = scenario.fleet();
        ServerLimits limits =
                fleet.limits()
                        .withSpeedFactor(
                                RandomStreams.uniform(
                                        speedRandom, fleet.speedLow(), fleet.speedHigh()));
        try {
            EmulatedServer server =
                    new EmulatedServer(
                            this,
                            "w" + servers.size(),
                            zone,
                            fleet.cells() > 0 ? index % fleet.cells() : -1,
                            limits,
                            cold);
            servers.add(server);
            discovery.add(server);
        } catch (IOException e) {
            throw new IllegalStateException("can't add a server", e);
        }
    }

    @Override
    public List<EmulatedServer> servers() {
        return servers;
    }

    @Override
    public List<NodeProcess> nodes() {
        return nodes;
    }

    @Override
    public void setDiscoveryDown(boolean down) {
        discovery.setDown(down);
    }

    @Override
    public void isolateZone(String zone) {
        // A simplification: the servers are isolated from the nodes of their own zone as well.
        for (EmulatedServer server : servers) {
            server.process().faults.isolated = zone != null && server.zone.equals(zone);
        }
    }

    @Override
    public void setHeavyTail(double share, double workFactor) {
        if (clients != null) {
            clients.setHeavyTail(share, workFactor);
        }
    }

    @Override
    public void close() throws IOException {
        nodes.forEach(NodeProcess::destroy);
        loop.close();
    }
}
