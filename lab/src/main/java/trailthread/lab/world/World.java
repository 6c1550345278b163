package trailthread.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.BalancerApi.Reports;
import trailthread.BalancerApi.Settings;
import trailthread.BalancerApi.State;
import trailthread.BalancerApi.Tenant;
import trailthread.lab.agenda.Agenda;
import trailthread.lab.figures.Figures;
import trailthread.lab.peers.Policy;
import trailthread.lab.peers.Truth;
import trailthread.lab.random.Streams;
import trailthread.lab.referee.Referee;
import trailthread.lab.scenario.Scenario;
import trailthread.lab.scenario.Scenario.ClassLaw;
import trailthread.lab.scenario.Scenario.Draw;
import trailthread.lab.scenario.Scenario.NetworkLaw;
import trailthread.lab.scenario.Scenario.Surge;
import trailthread.lab.worker.WorkerLaw;

/**
 * A day in virtual time: clients, nodes with the decisions under test, the network, workers, the roster and what goes
 * wrong. One seed gives one history. Runs on the thread that calls it and shares nothing, so that many can run at once.
 */
public final class World {
    /** Virtual clocks begin at an odd time, so that nothing rests on zero. */
    private static final long BEGIN = 1_000_000_000_000L;
    /** How long a worker that fails at once takes for it. */
    static final long FAST_ERROR_NS = 1_000_000L;
    /** How long the front of the nodes goes on sending to one that has died. */
    private static final long FRONT_LEARNS_NS = 500_000_000L;
    private static final long SECOND = 1_000_000_000L;

    private final Scenario scenario;
    private final Policy policy;
    private final Streams streams;
    private final Agenda agenda = new Agenda(BEGIN);
    private final Referee referee;
    private final Figures figures;
    private final List<SimNode> nodes = new ArrayList<>();
    private final List<SimWorker> workers = new ArrayList<>();
    private final Map<String, SimWorker> byName = new HashMap<>();
    private final SimRoster roster;
    private final UniformRandomProvider network;
    private final UniformRandomProvider arrivals;
    private final UniformRandomProvider asks;
    private final UniformRandomProvider tails;
    private final UniformRandomProvider speeds;
    private final double[] classShares;
    private long lastId;
    private long serials;
    private long reportsLateNs;
    private double tailShare;
    private double tailTimes = 1;
    private String cutZone;

    private World(Scenario scenario, Policy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        streams = new Streams(seed);
        referee = new Referee(scenario.rules().answerSlackNs(), scenario.rules().drainGraceNs());
        figures = new Figures(BEGIN, BEGIN + scenario.warmUpNs());
        network = streams.of("network");
        arrivals = streams.of("arrivals");
        asks = streams.of("asks");
        tails = streams.of("tails");
        speeds = streams.of("speeds");
        roster = new SimRoster(this);
        classShares = scenario.classes().stream().mapToDouble(ClassLaw::share).toArray();
    }

    /** What came of a day, and how it was judged. */
    public record Day(Figures figures, Referee referee, long events, long wallNs, List<String> workers) {
    }

    /**
     * Plays a day.
     *
     * @throws ModuleFault if the decisions ask for what nobody can do
     */
    public static Day play(Scenario scenario, Policy policy, long seed) {
        long begun = System.nanoTime();
        World world = new World(scenario, policy, seed);
        world.run();
        return new Day(world.figures, world.referee, world.agenda.done(), System.nanoTime() - begun,
                world.workers.stream().map(w -> w.name).toList());
    }

    private void run() {
        for (int i = 0; i < scenario.fleet().workers(); i++) {
            addWorker(scenario.zones().get(i % scenario.zones().size()), i, false);
        }
        for (int i = 0; i < scenario.nodes(); i++) {
            nodes.add(new SimNode(this, i, scenario.zones().get(i % scenario.zones().size())));
        }
        nodes.forEach(node -> node.start(roster.whole()));
        new Troubles(this).arrange(scenario.faults());
        long end = BEGIN + scenario.lengthNs();
        arrive(end);
        sample(end);
        long longest = scenario.classes().stream().mapToLong(c -> c.rules().deadlineNs()).max().orElse(0);
        // After the last arrival it runs on until all is answered.
        for (long until = end + 2 * longest + SECOND; agenda.now() < until && agenda.size() > 0;) {
            agenda.runUntil(Math.min(until, agenda.now() + SECOND));
        }
        referee.finish(agenda.now());
    }

    private void addWorker(String zone, int place, boolean cold) {
        var fleet = scenario.fleet();
        WorkerLaw law = fleet.law();
        double speed = Streams.uniform(speeds, fleet.speedLow(), fleet.speedHigh());
        WorkerLaw own = new WorkerLaw(law.speed() * speed, law.cores(), law.slots(), law.room(), law.crowding(),
                law.jam(), law.cold(), law.cancelStops());
        int cell = fleet.cells() > 0 ? place % fleet.cells() : -1;
        SimWorker worker = new SimWorker(this, "w" + workers.size(), workers.size(), zone, cell, own, cold);
        workers.add(worker);
        byName.put(worker.name, worker);
        roster.add(worker);
    }

    /** A worker under a new name in the place of one that is gone; it begins cold. */
    void replace(SimWorker gone) {
        addWorker(gone.zone, Math.max(0, gone.cell), true);
    }

    // ---- clients -----------------------------------------------------------------------------------

    private double rate(long now) {
        var clients = scenario.clients();
        double rate = clients.perSecond();
        long since = now - BEGIN;
        if (clients.swingNs() > 0) {
            rate *= 1 + clients.swing() * StrictMath.sin(2 * StrictMath.PI * since / clients.swingNs());
        }
        for (Surge surge : clients.surges()) {
            if (since >= surge.atNs() && since < surge.atNs() + surge.forNs()) {
                rate *= surge.times();
            }
        }
        return rate;
    }

    private double mostRate() {
        double most = scenario.clients().perSecond() * (1 + Math.max(0, scenario.clients().swing()));
        for (Surge surge : scenario.clients().surges()) {
            most *= Math.max(1, surge.times());
        }
        return most;
    }

    /** Arrivals of a rate that changes, by thinning (Lewis and Shedler, 1979). */
    private void arrive(long end) {
        double most = mostRate();
        long at = agenda.now();
        do {
            at += (long) Streams.exponential(arrivals, 1e9 / most);
        } while (at < end && arrivals.nextDouble() * most >= rate(at));
        if (at < end) {
            agenda.at(at, () -> {
                ask().attempt();
                arrive(end);
            });
        }
    }

    private Ask ask() {
        var clients = scenario.clients();
        ClassLaw law = scenario.classes().get(drawn(classShares, asks.nextDouble()));
        Tenant tenant = null;
        if (!scenario.tenants().isEmpty()) {
            double[] shares = scenario.tenants().stream().mapToDouble(Tenant::share).toArray();
            tenant = scenario.tenants().get(drawn(shares, asks.nextDouble()));
        }
        double draw = asks.nextDouble();
        double work = law.draw() == Draw.FIXED ? law.lowNs()
                : law.draw() == Draw.UNIFORM ? law.lowNs() + draw * (law.highNs() - law.lowNs())
                : -law.lowNs() * StrictMath.log(1 - draw);
        if (tails.nextDouble() < tailShare) {
            work *= tailTimes;
        }
        long key = clients.keys() > 0 ? 1 + asks.nextLong(clients.keys()) : 0;
        int zone = asks.nextInt(scenario.zones().size());
        int tries = clients.retries() + 1;
        double[] patience = new double[tries];
        double[] backoff = new double[tries];
        double[] front = new double[tries];
        for (int i = 0; i < tries; i++) {
            patience[i] = Streams.uniform(asks, clients.patienceLow(), clients.patienceHigh());
            backoff[i] = Streams.uniform(asks, 0.5, 1);
            front[i] = asks.nextDouble();
        }
        return new Ask(this, law, tenant == null ? null : tenant.name(), Math.max(1, work), key, zone, patience,
                backoff, front);
    }

    private static int drawn(double[] shares, double draw) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double left = draw * sum;
        for (int i = 0; i < shares.length - 1; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    /** The node to which the front of a zone sends, or null: it knows of none. */
    SimNode front(int zone, double draw) {
        String name = scenario.zones().get(zone);
        List<SimNode> near = nodes.stream().filter(n -> n.zone.equals(name) && frontKnows(n)).toList();
        List<SimNode> some = near.isEmpty() ? nodes.stream().filter(this::frontKnows).toList() : near;
        return some.isEmpty() ? null : some.get((int) (draw * some.size()));
    }

    private boolean frontKnows(SimNode node) {
        return node.isUp() || agenda.now() - node.diedAt() < FRONT_LEARNS_NS;
    }

    // ---- what the parts need -----------------------------------------------------------------------

    long begin() {
        return BEGIN;
    }

    long now() {
        return agenda.now();
    }

    Agenda agenda() {
        return agenda;
    }

    Streams streams() {
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

    Referee referee() {
        return referee;
    }

    Figures figures() {
        figures.at(agenda.now());
        return figures;
    }

    SimRoster roster() {
        return roster;
    }

    List<SimNode> nodes() {
        return nodes;
    }

    List<SimWorker> workers() {
        return workers;
    }

    SimWorker worker(String name) {
        return byName.get(name);
    }

    long nextId() {
        return ++lastId;
    }

    long nextSerial() {
        return ++serials;
    }

    long reportsLateNs() {
        return reportsLateNs;
    }

    void setReportsLate(long ns) {
        reportsLateNs = ns;
    }

    void setTail(double share, double times) {
        tailShare = share;
        tailTimes = times;
    }

    void cutZone(String zone) {
        cutZone = zone;
    }

    void fell(SimWorker worker) {
        referee.fell(now(), worker.name);
    }

    /** What takes longer to tell its load than the tightest aim is fit for nothing just now. */
    long probeWithinNs() {
        return scenario.classes().stream().mapToLong(c -> c.rules().aimNs()).min().orElseThrow();
    }

    void travel(SimNode from, SimWorker to, Runnable task) {
        travel(from.zone, to.zone, to, task);
    }

    void travel(SimWorker from, SimNode to, Runnable task) {
        travel(from.zone, to.zone, from, () -> to.input(task));
    }

    /** One way over the network, if there is one. */
    private void travel(String from, String to, SimWorker worker, Runnable task) {
        boolean far = !from.equals(to);
        if (worker.cut || far && cutZone != null && (from.equals(cutZone) || to.equals(cutZone))) {
            return; // nothing is said
        }
        NetworkLaw law = scenario.network();
        double delay = (far ? law.farNs() : law.nearNs()) * (1 + law.jitter() * network.nextDouble());
        agenda.in((long) delay, task);
    }

    Settings settings(SimNode node) {
        Settings s = new Settings();
        var rules = scenario.rules();
        s.tickNs = 1;
        s.me = node.number;
        s.nodes = scenario.nodes();
        s.zone = node.zone;
        scenario.classes().forEach(c -> s.classes.add(c.rules()));
        s.tenants.addAll(scenario.tenants());
        s.priceCrossZone = rules.crossZonePrice();
        s.mayCancel = true;
        s.mayProbe = rules.probes();
        s.maxAttempts = rules.maxAttempts();
        s.retryAfter = rules.maxRetryAfterNs() > 0;
        s.maxRetryAfterNs = rules.maxRetryAfterNs();
        s.connectTimeoutNs = network().dialNs();
        s.listOnRequest = true;
        s.reports = scenario.fleet().reports() ? Reports.ANSWERS : Reports.NONE;
        s.answerSlackNs = rules.answerSlackNs();
        var cold = scenario.fleet().law().cold();
        s.coldShare = cold.share();
        s.coldNs = cold.warmNs();
        s.fallMultiple = Math.min(1e6, cold.multiple());
        s.fallNs = cold.windowNs();
        return s;
    }

    Truth truth() {
        return new Truth() {
            @Override
            public double stretch(String name) {
                SimWorker w = byName.get(name);
                if (!w.up || w.cut || w.failing > 0 || w.losing > 0 || w.state != State.READY) {
                    return Double.POSITIVE_INFINITY;
                }
                return w.model().stretch(now(), w.coming);
            }
        };
    }

    private void sample(long end) {
        for (long at = BEGIN + SECOND - 1; at < end; at += SECOND) {
            agenda.at(at, () -> {
                int[] held = new int[workers.size()];
                for (int i = 0; i < held.length; i++) {
                    held[i] = workers.get(i).holds();
                }
                figures.holds(now(), held);
            });
        }
    }
}
