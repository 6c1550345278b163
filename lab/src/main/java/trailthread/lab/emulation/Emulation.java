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
 * A day on sockets: the scenario's servers and discovery as stand-ins on loopback, and, where asked
 * for, its clients and real nodes. All but the nodes runs on one thread. Only loopback is spoken
 * to.
 */
public final class Emulation implements FaultTarget, Closeable {
    private static final long SECOND = 1_000_000_000L;
    private static final long STARTS_WITHIN_NS = 30 * SECOND;
    private static final int MAX_REMEMBERED_REQUESTS = 200_000;

    /** Attempts of one call so far, and where the last one went. */
    private static final class Attempts {
        private int count;
        private EmulatedServer last;
    }

    /**
     * What a node is started with.
     *
     * @param root where
     */
    public record Program(List<String> command, Path root) {
        /**
         * As the platform starts it, by the deploy file of a checkout.
         *
         * @throws IOException if there is none, or it names no such command
         */
        public static Program ofCheckout(Path root) throws IOException {
            String run =
                    Toml.parse(root.resolve("deploy").resolve("balancer.toml")).getString("run");
            if (run == null) {
                throw new IOException("no run command in deploy/balancer.toml of " + root);
            }
            List<String> words = new ArrayList<>(List.of(run.strip().split(" +")));
            words.remove("exec");
            return new Program(words, root);
        }
    }

    /** What each node held at the end of a second. */
    public record NodeSecond(double[] rssMb, int[] descriptors, double[] cpuSeconds) {}

    private final Scenario scenario;
    private final EmulationLoop loop = new EmulationLoop();
    private final RandomStreams streams;
    private final List<EmulatedServer> servers = new ArrayList<>();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<NodeSecond> nodeSeconds = new ArrayList<>();
    private final EmulatedDiscovery discovery;
    private final UniformRandomProvider speeds;
    private final int nodeCount;
    private final long unixOffsetNs = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private final Map<String, Attempts> attempts =
            new LinkedHashMap<>(1024, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Attempts> eldest) {
                    return size() > MAX_REMEMBERED_REQUESTS;
                }
            };
    private InvariantChecker checker;
    private RunMetrics metrics;
    private HttpClients front;
    private ClientPopulation clients;
    private long lastId = System.nanoTime() << 8 & 0xfffffffffffffL;

    /**
     * Starts servers and discovery.
     *
     * @param nodeCount how many nodes there will be; each has addresses of its own
     */
    public Emulation(Scenario scenario, long seed, int nodeCount) throws IOException {
        this.scenario = scenario;
        this.nodeCount = nodeCount;
        streams = new RandomStreams(seed);
        speeds = streams.stream("speeds");
        metrics = new RunMetrics(loop.eventQueue().now(), Long.MAX_VALUE);
        discovery = new EmulatedDiscovery(this, nodeCount);
        for (int i = 0; i < scenario.fleet().servers(); i++) {
            addServer(scenario.zones().get(i % scenario.zones().size()), i, false);
        }
    }

    /** Where a node, by its number, finds discovery. */
    public String discoveryAt(int node) {
        return discovery.hostPort(node);
    }

    /** Where a node finds the servers. */
    public List<String> serversAt(int node) {
        return servers.stream().map(w -> w.hostPort(node)).toList();
    }

    /** How late this machine did what was due. */
    public EmulationLoop loop() {
        return loop;
    }

    /** What came of it. */
    public RunMetrics metrics() {
        metrics.setClock(now());
        return metrics;
    }

    /** How it was judged. */
    public InvariantChecker checker() {
        return checker;
    }

    /** By seconds, what the nodes held. */
    public List<NodeSecond> nodeSeconds() {
        return nodeSeconds;
    }

    /** Most connections of clients at once. */
    public int mostConnections() {
        return front == null ? 0 : front.mostOpen();
    }

    /** Starts real nodes with this command; what they say goes to files in the directory. */
    public void startNodes(Program program, Path directory) throws IOException {
        checker =
                new InvariantChecker(
                        scenario.rules().responseSlackNs() + 50_000_000L,
                        scenario.rules().drainGraceNs() + 50_000_000L);
        Files.createDirectories(directory);
        front();
        for (int i = 0; i < nodeCount; i++) {
            int port;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            HttpClients.Target target =
                    front.add(scenario.zones().get(i % scenario.zones().size()), port);
            target.admitted = false;
            NodeProcess node = new NodeProcess(this, i, target.zone, directory, program, target);
            nodes.add(node);
            node.start();
        }
        long until = System.nanoTime() + STARTS_WITHIN_NS;
        while (!front.allAdmitted()) {
            if (System.nanoTime() > until || nodes.stream().anyMatch(n -> !n.isRunning())) {
                throw new IOException("a node does not become ready; see " + directory);
            }
            loop.runUntil(System.nanoTime() + SECOND / 20);
        }
    }

    private void front() {
        front =
                new HttpClients(
                        loop,
                        checker,
                        scenario.rules().responseSlackNs(),
                        scenario.zones(),
                        () -> ++lastId);
    }

    /**
     * Sends to these nodes, which others have started; without servers of its own nothing but
     * answers is judged.
     */
    public void sendTo(List<Integer> ports) {
        checker =
                new InvariantChecker(
                        scenario.rules().responseSlackNs() + 50_000_000L, Long.MAX_VALUE / 4);
        front();
        for (int i = 0; i < ports.size(); i++) {
            front.add(scenario.zones().get(i % scenario.zones().size()), ports.get(i));
        }
    }

    /** Opens so many clients' connections to each node, ahead of need. */
    public void openAhead(int each) throws IOException {
        front.openAhead(each);
        loop.runUntil(System.nanoTime() + SECOND / 2);
    }

    /**
     * Plays the day, from now on.
     *
     * @param withFaults whether its faults happen
     * @param everySecond hears of its progress
     */
    public void run(boolean withFaults, Consumer<Emulation> everySecond) throws IOException {
        long begin = now();
        metrics = new RunMetrics(begin, begin + scenario.warmUpNs());
        loop.lateUs().reset();
        if (front != null) {
            clients = new ClientPopulation(eventQueue(), streams, scenario, metrics, front);
            clients.begin(begin + scenario.durationNs());
        }
        if (withFaults) {
            FaultInjector.schedule(eventQueue(), streams, scenario.faults(), this);
        }
        sample(begin, begin + scenario.durationNs(), everySecond);
        cuts(begin + scenario.durationNs());
        long longest =
                scenario.classes().stream()
                        .mapToLong(c -> c.requestClass().deadlineNs())
                        .max()
                        .orElse(0);
        long end = begin + scenario.durationNs();
        loop.runUntil(end);
        while (System.nanoTime() < end + 2 * longest
                && clients != null
                && clients.openOperations() > 0) {
            loop.runUntil(System.nanoTime() + SECOND / 20);
        }
        if (checker != null) {
            checker.finish(now());
        }
    }

    private void sample(long begin, long end, Consumer<Emulation> everySecond) {
        eventQueue()
                .scheduleAfter(
                        SECOND,
                        () -> {
                            metrics.recordInflight(
                                    now() - 1,
                                    servers.stream()
                                            .mapToInt(w -> w.process().inflight())
                                            .toArray());
                            List<NodeProcess.Sample> samples =
                                    nodes.stream().map(NodeProcess::sample).toList();
                            nodeSeconds.add(
                                    new NodeSecond(
                                            samples.stream()
                                                    .mapToDouble(NodeProcess.Sample::rssMb)
                                                    .toArray(),
                                            samples.stream()
                                                    .mapToInt(NodeProcess.Sample::descriptors)
                                                    .toArray(),
                                            samples.stream()
                                                    .mapToDouble(NodeProcess.Sample::cpuSeconds)
                                                    .toArray()));
                            everySecond.accept(this);
                            if (now() + SECOND <= end) {
                                sample(begin, end, everySecond);
                            }
                        });
    }

    /** Machines that are cut off fall silent within a moment. */
    private void cuts(long end) {
        servers.forEach(EmulatedServer::arrangeCut);
        if (now() < end) {
            eventQueue().scheduleAfter(SECOND / 100, () -> cuts(end));
        }
    }

    // ---- what the parts need
    // -----------------------------------------------------------------------

    void check(Consumer<InvariantChecker> told) {
        if (checker != null) {
            told.accept(checker);
        }
    }

    long now() {
        return eventQueue().now();
    }

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
     * The number of an attempt that has come; an earlier one's connection that has ended by now is
     * looked at first.
     */
    int nextAttempt(String requestId, EmulatedServer server) {
        Attempts of = attempts.computeIfAbsent(requestId, c -> new Attempts());
        if (of.last != null) {
            of.last.look(requestId);
        }
        of.last = server;
        return of.count++;
    }

    /** A server under a new name. */
    void addServer(String zone, int place, boolean cold) {
        var fleet = scenario.fleet();
        ServerLimits own =
                fleet.limits()
                        .withSpeedFactor(
                                RandomStreams.uniform(speeds, fleet.speedLow(), fleet.speedHigh()));
        try {
            EmulatedServer server =
                    new EmulatedServer(
                            this,
                            "w" + servers.size(),
                            zone,
                            fleet.cells() > 0 ? place % fleet.cells() : -1,
                            own,
                            cold);
            servers.add(server);
            discovery.add(server);
        } catch (IOException e) {
            throw new IllegalStateException("no worker can be added", e);
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
        discovery.down(down);
    }

    @Override
    public void isolateZone(String zone) {
        for (EmulatedServer server :
                servers) { // nodes of the zone still reach it: they are on this machine
            server.process().faults.isolated = zone != null && server.zone.equals(zone);
        }
    }

    @Override
    public void setHeavyTail(double share, double times) {
        if (clients != null) {
            clients.setHeavyTail(share, times);
        }
    }

    @Override
    public void close() throws IOException {
        nodes.forEach(NodeProcess::end);
        loop.close();
    }
}
