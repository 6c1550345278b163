package trailthread.lab.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.lab.event.EventQueue;
import trailthread.lab.random.RandomStreams;
import trailthread.lab.scenario.Scenario.Fault;
import trailthread.lab.scenario.Scenario.Trouble;
import trailthread.lab.server.ServerFaults;

/** Makes go wrong, when it is to, what a scenario lists. */
public final class FaultInjector {
    /** How long a server that drains goes on before it ends, and how long its next start takes. */
    private static final long DRAINS_NS = 2_000_000_000L;

    private static final long STARTS_NS = 1_000_000_000L;

    /** And after a loss of power. */
    private static final long POWER_BACK_NS = 2_000_000_000L;

    /** How often it is looked whether all nodes serve. */
    private static final long LOOK_NS = 20_000_000L;

    private final EventQueue eventQueue;
    private final FaultTarget day;

    private FaultInjector(EventQueue eventQueue, FaultTarget day) {
        this.eventQueue = eventQueue;
        this.day = day;
    }

    /** Arranges all of these for a day that begins now. */
    public static void arrange(
            EventQueue eventQueue, RandomStreams streams, List<Fault> faults, FaultTarget day) {
        FaultInjector troubles = new FaultInjector(eventQueue, day);
        for (int i = 0; i < faults.size(); i++) {
            Fault fault = faults.get(i);
            UniformRandomProvider random = streams.stream("fault " + i);
            eventQueue.scheduleAfter(fault.atNs(), () -> troubles.begin(fault, random));
        }
    }

    private static <T> List<T> struck(List<T> all, double part, UniformRandomProvider random) {
        List<T> left = new ArrayList<>(all);
        List<T> struck = new ArrayList<>();
        int count =
                Math.min(
                        left.size(),
                        (int) Math.max(part > 0 ? 1 : 0, Math.round(part * left.size())));
        while (struck.size() < count) {
            struck.add(left.remove(random.nextInt(left.size())));
        }
        return struck;
    }

    private List<FaultTarget.Server> servers(Fault fault, UniformRandomProvider random) {
        List<FaultTarget.Server> fit = new ArrayList<>();
        for (FaultTarget.Server server : day.servers()) {
            if (server.isReady() && (fault.zone() == null || server.zone().equals(fault.zone()))) {
                fit.add(server);
            }
        }
        return struck(fit, fault.part(), random);
    }

    private void begin(Fault fault, UniformRandomProvider random) {
        switch (fault.trouble()) {
            case FAST_ERRORS ->
                    ills(fault, random, i -> i.failing = fault.size(), i -> i.failing = 0);
            case LOST_ANSWERS ->
                    ills(fault, random, i -> i.losing = fault.size(), i -> i.losing = 0);
            case RESETS ->
                    ills(fault, random, i -> i.resetting = fault.size(), i -> i.resetting = 0);
            case GARBAGE ->
                    ills(fault, random, i -> i.spoiling = fault.size(), i -> i.spoiling = 0);
            case DRIPS ->
                    ills(
                            fault,
                            random,
                            i -> i.drips = (long) (fault.size() * 1e9),
                            i -> i.drips = 0);
            case CUT -> ills(fault, random, i -> i.cut = true, i -> i.cut = false);
            case SLOW ->
                    forAWhile(
                            fault,
                            servers(fault, random),
                            w -> w.process().slow(fault.size()),
                            w -> w.process().slow(1));
            case LATE_REPORTS ->
                    forAWhile(
                            fault,
                            List.copyOf(day.servers()),
                            w -> w.process().reportsLate((long) (fault.size() * 1e9)),
                            w -> w.process().reportsLate(0));
            case HEAVY_TAIL -> {
                day.setHeavyTail(fault.extra(), fault.size());
                eventQueue.scheduleAfter(fault.forNs(), () -> day.setHeavyTail(0, 1));
            }
            case ZONE_CUT -> {
                day.isolateZone(fault.zone());
                eventQueue.scheduleAfter(fault.forNs(), () -> day.isolateZone(null));
            }
            case RESTART, REPLACE -> {
                List<FaultTarget.Server> all = servers(fault, random);
                for (int i = 0; i < all.size(); i++) {
                    FaultTarget.Server server = all.get(i);
                    eventQueue.scheduleAfter(
                            fault.forNs() * i / all.size(),
                            () -> leaves(server, fault.trouble() == Trouble.REPLACE));
                }
            }
            case COLD_FLEET ->
                    servers(fault, random)
                            .forEach(
                                    server -> {
                                        server.stop();
                                        eventQueue.scheduleAfter(POWER_BACK_NS, server::restart);
                                    });
            case ROSTER_DOWN -> {
                day.setDiscoveryDown(true);
                eventQueue.scheduleAfter(fault.forNs(), () -> day.setDiscoveryDown(false));
            }
            case NODE_KILL ->
                    struck(day.nodes(), fault.part(), random)
                            .forEach(
                                    node -> {
                                        node.kill();
                                        eventQueue.scheduleAfter(fault.forNs(), node::start);
                                    });
            case NODE_RESTART -> {
                List<FaultTarget.Node> all = struck(List.copyOf(day.nodes()), fault.part(), random);
                roll(all, fault.forNs() / Math.max(1, all.size()));
            }
            case NODE_RELOAD ->
                    struck(day.nodes(), fault.part(), random).forEach(FaultTarget.Node::reload);
            case NODE_PAUSE ->
                    struck(day.nodes(), fault.part(), random)
                            .forEach(node -> node.pause(fault.forNs()));
            default -> throw new IllegalStateException(fault.trouble().name());
        }
    }

    private void ills(
            Fault fault,
            UniformRandomProvider random,
            Consumer<ServerFaults> on,
            Consumer<ServerFaults> off) {
        forAWhile(
                fault,
                servers(fault, random),
                w -> on.accept(w.process().ills),
                w -> off.accept(w.process().ills));
    }

    private void forAWhile(
            Fault fault,
            List<FaultTarget.Server> struck,
            Consumer<FaultTarget.Server> on,
            Consumer<FaultTarget.Server> off) {
        struck.forEach(on);
        eventQueue.scheduleAfter(fault.forNs(), () -> struck.forEach(off));
    }

    /**
     * Restarts the first of these, and the others after it at this distance or later: nothing is
     * restarted while a node is out of service, however long this machine takes to start one. A day
     * must not depend on that.
     */
    private void roll(List<FaultTarget.Node> left, long eachNs) {
        if (left.isEmpty()) {
            return;
        }
        if (!day.nodes().stream().allMatch(FaultTarget.Node::isServing)) {
            eventQueue.scheduleAfter(LOOK_NS, () -> roll(left, eachNs));
            return;
        }
        left.get(0).restart();
        eventQueue.scheduleAfter(eachNs, () -> roll(left.subList(1, left.size()), eachNs));
    }

    private void leaves(FaultTarget.Server server, boolean forGood) {
        server.startDraining();
        eventQueue.scheduleAfter(
                DRAINS_NS,
                () -> {
                    server.stop();
                    eventQueue.scheduleAfter(
                            STARTS_NS, forGood ? server::replace : server::restart);
                });
    }
}
