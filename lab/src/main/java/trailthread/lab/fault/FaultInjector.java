package trailthread.lab.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.lab.event.EventQueue;
import trailthread.lab.random.RandomStreams;
import trailthread.lab.scenario.Scenario.FaultKind;
import trailthread.lab.scenario.Scenario.ScheduledFault;
import trailthread.lab.server.ServerFaults;

/** Makes go wrong, when it is to, what a scenario lists. */
public final class FaultInjector {
    /** How long a server that drains goes on before it ends, and how long its next start takes. */
    private static final long DRAIN_NS = 2_000_000_000L;

    private static final long START_NS = 1_000_000_000L;

    /** And after a loss of power. */
    private static final long POWER_LOSS_NS = 2_000_000_000L;

    /** How often it is looked whether all nodes serve. */
    private static final long SERVING_POLL_NS = 20_000_000L;

    private final EventQueue eventQueue;
    private final FaultTarget target;

    private FaultInjector(EventQueue eventQueue, FaultTarget target) {
        this.eventQueue = eventQueue;
        this.target = target;
    }

    /** Arranges all of these for a day that begins now. */
    public static void schedule(
            EventQueue eventQueue,
            RandomStreams streams,
            List<ScheduledFault> faults,
            FaultTarget target) {
        FaultInjector injector = new FaultInjector(eventQueue, target);
        for (int i = 0; i < faults.size(); i++) {
            ScheduledFault fault = faults.get(i);
            UniformRandomProvider random = streams.stream("fault " + i);
            eventQueue.scheduleAfter(fault.startNs(), () -> injector.start(fault, random));
        }
    }

    private static <T> List<T> choose(List<T> all, double share, UniformRandomProvider random) {
        List<T> left = new ArrayList<>(all);
        List<T> chosen = new ArrayList<>();
        int count =
                Math.min(
                        left.size(),
                        (int) Math.max(share > 0 ? 1 : 0, Math.round(share * left.size())));
        while (chosen.size() < count) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }

    private List<FaultTarget.Server> affectedServers(
            ScheduledFault fault, UniformRandomProvider random) {
        List<FaultTarget.Server> eligible = new ArrayList<>();
        for (FaultTarget.Server server : target.servers()) {
            if (server.isReady() && (fault.zone() == null || server.zone().equals(fault.zone()))) {
                eligible.add(server);
            }
        }
        return choose(eligible, fault.affectedShare(), random);
    }

    private void start(ScheduledFault fault, UniformRandomProvider random) {
        switch (fault.kind()) {
            case FAST_ERRORS ->
                    setServerFaults(
                            fault,
                            random,
                            f -> f.errorShare = fault.magnitude(),
                            f -> f.errorShare = 0);
            case LOST_ANSWERS ->
                    setServerFaults(
                            fault,
                            random,
                            f -> f.lostResponseShare = fault.magnitude(),
                            f -> f.lostResponseShare = 0);
            case RESETS ->
                    setServerFaults(
                            fault,
                            random,
                            f -> f.resetShare = fault.magnitude(),
                            f -> f.resetShare = 0);
            case GARBAGE ->
                    setServerFaults(
                            fault,
                            random,
                            f -> f.garbageShare = fault.magnitude(),
                            f -> f.garbageShare = 0);
            case DRIPS ->
                    setServerFaults(
                            fault,
                            random,
                            f -> f.trickleNs = (long) (fault.magnitude() * 1e9),
                            f -> f.trickleNs = 0);
            case CUT ->
                    setServerFaults(fault, random, f -> f.isolated = true, f -> f.isolated = false);
            case SLOW ->
                    applyTemporarily(
                            fault,
                            affectedServers(fault, random),
                            w -> w.process().setSlowdown(fault.magnitude()),
                            w -> w.process().setSlowdown(1));
            case LATE_REPORTS ->
                    applyTemporarily(
                            fault,
                            List.copyOf(target.servers()),
                            w -> w.process().setReportDelay((long) (fault.magnitude() * 1e9)),
                            w -> w.process().setReportDelay(0));
            case HEAVY_TAIL -> {
                target.setHeavyTail(fault.requestShare(), fault.magnitude());
                eventQueue.scheduleAfter(fault.durationNs(), () -> target.setHeavyTail(0, 1));
            }
            case ZONE_CUT -> {
                target.isolateZone(fault.zone());
                eventQueue.scheduleAfter(fault.durationNs(), () -> target.isolateZone(null));
            }
            case RESTART, REPLACE -> {
                List<FaultTarget.Server> all = affectedServers(fault, random);
                for (int i = 0; i < all.size(); i++) {
                    FaultTarget.Server server = all.get(i);
                    eventQueue.scheduleAfter(
                            fault.durationNs() * i / all.size(),
                            () -> restart(server, fault.kind() == FaultKind.REPLACE));
                }
            }
            case COLD_FLEET ->
                    affectedServers(fault, random)
                            .forEach(
                                    server -> {
                                        server.stop();
                                        eventQueue.scheduleAfter(POWER_LOSS_NS, server::restart);
                                    });
            case ROSTER_DOWN -> {
                target.setDiscoveryDown(true);
                eventQueue.scheduleAfter(fault.durationNs(), () -> target.setDiscoveryDown(false));
            }
            case NODE_KILL ->
                    choose(target.nodes(), fault.affectedShare(), random)
                            .forEach(
                                    node -> {
                                        node.kill();
                                        eventQueue.scheduleAfter(fault.durationNs(), node::start);
                                    });
            case NODE_RESTART -> {
                List<FaultTarget.Node> all =
                        choose(List.copyOf(target.nodes()), fault.affectedShare(), random);
                restartInTurn(all, fault.durationNs() / Math.max(1, all.size()));
            }
            case NODE_RELOAD ->
                    choose(target.nodes(), fault.affectedShare(), random)
                            .forEach(FaultTarget.Node::reload);
            case NODE_PAUSE ->
                    choose(target.nodes(), fault.affectedShare(), random)
                            .forEach(node -> node.pause(fault.durationNs()));
            default -> throw new IllegalStateException(fault.kind().name());
        }
    }

    private void setServerFaults(
            ScheduledFault fault,
            UniformRandomProvider random,
            Consumer<ServerFaults> on,
            Consumer<ServerFaults> off) {
        applyTemporarily(
                fault,
                affectedServers(fault, random),
                w -> on.accept(w.process().faults),
                w -> off.accept(w.process().faults));
    }

    private void applyTemporarily(
            ScheduledFault fault,
            List<FaultTarget.Server> affected,
            Consumer<FaultTarget.Server> on,
            Consumer<FaultTarget.Server> off) {
        affected.forEach(on);
        eventQueue.scheduleAfter(fault.durationNs(), () -> affected.forEach(off));
    }

    /**
     * Restarts the first of these, and the others after it at this distance or later: nothing is
     * restarted while a node is out of service, however long this machine takes to start one. A day
     * must not depend on that.
     */
    private void restartInTurn(List<FaultTarget.Node> left, long eachNs) {
        if (left.isEmpty()) {
            return;
        }
        if (!target.nodes().stream().allMatch(FaultTarget.Node::isServing)) {
            eventQueue.scheduleAfter(SERVING_POLL_NS, () -> restartInTurn(left, eachNs));
            return;
        }
        left.get(0).restart();
        eventQueue.scheduleAfter(eachNs, () -> restartInTurn(left.subList(1, left.size()), eachNs));
    }

    private void restart(FaultTarget.Server server, boolean replaced) {
        server.startDraining();
        eventQueue.scheduleAfter(
                DRAIN_NS,
                () -> {
                    server.stop();
                    eventQueue.scheduleAfter(
                            START_NS, replaced ? server::replace : server::restart);
                });
    }
}
