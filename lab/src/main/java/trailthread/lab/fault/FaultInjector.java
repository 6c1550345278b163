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

/** Injects the faults of a scenario at their times. */
public final class FaultInjector {
    /** How long a server drains before its process ends. */
    private static final long DRAIN_NS = 2_000_000_000L;

    /** How long the next start of a drained server takes. */
    private static final long START_NS = 1_000_000_000L;

    /** How long a start takes after a loss of power. */
    private static final long START_AFTER_POWER_LOSS_NS = 2_000_000_000L;

    /** How often to check whether all nodes are serving. */
    private static final long SERVING_POLL_NS = 20_000_000L;

    private final EventQueue eventQueue;
    private final FaultTarget target;

    private FaultInjector(EventQueue eventQueue, FaultTarget target) {
        this.eventQueue = eventQueue;
        this.target = target;
    }

    /** Schedules these faults for a run that begins now. */
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
        List<T> remaining = new ArrayList<>(all);
        List<T> chosen = new ArrayList<>();
        int count =
                Math.min(
                        remaining.size(),
                        (int) Math.max(share > 0 ? 1 : 0, Math.round(share * remaining.size())));
        while (chosen.size() < count) {
            chosen.add(remaining.remove(random.nextInt(remaining.size())));
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
                            faults -> faults.errorShare = fault.magnitude(),
                            faults -> faults.errorShare = 0);
            case LOST_ANSWERS ->
                    setServerFaults(
                            fault,
                            random,
                            faults -> faults.lostResponseShare = fault.magnitude(),
                            faults -> faults.lostResponseShare = 0);
            case RESETS ->
                    setServerFaults(
                            fault,
                            random,
                            faults -> faults.resetShare = fault.magnitude(),
                            faults -> faults.resetShare = 0);
            case GARBAGE ->
                    setServerFaults(
                            fault,
                            random,
                            faults -> faults.garbageShare = fault.magnitude(),
                            faults -> faults.garbageShare = 0);
            case STRAY_RESPONSES ->
                    setServerFaults(
                            fault,
                            random,
                            faults -> {
                                faults.strayShare = fault.requestShare();
                                faults.maxStrayDelayNs = (long) (fault.magnitude() * 1e9);
                            },
                            faults -> faults.strayShare = 0);
            case GREETINGS ->
                    setServerFaults(
                            fault,
                            random,
                            faults -> faults.greetingShare = fault.magnitude(),
                            faults -> faults.greetingShare = 0);
            case DRIPS ->
                    setServerFaults(
                            fault,
                            random,
                            faults -> faults.trickleNs = (long) (fault.magnitude() * 1e9),
                            faults -> faults.trickleNs = 0);
            case CUT ->
                    setServerFaults(
                            fault,
                            random,
                            faults -> faults.isolated = true,
                            faults -> faults.isolated = false);
            case SLOW ->
                    applyTemporarily(
                            fault,
                            affectedServers(fault, random),
                            server -> server.process().setSlowdown(fault.magnitude()),
                            server -> server.process().setSlowdown(1));
            case LATE_REPORTS ->
                    applyTemporarily(
                            fault,
                            List.copyOf(target.servers()),
                            server ->
                                    server.process()
                                            .setReportDelay((long) (fault.magnitude() * 1e9)),
                            server -> server.process().setReportDelay(0));
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
                                        eventQueue.scheduleAfter(
                                                START_AFTER_POWER_LOSS_NS, server::restart);
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
                server -> on.accept(server.process().faults),
                server -> off.accept(server.process().faults));
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
     * Restarts the first of these nodes, and then the others at this interval or later. No node is
     * restarted while another is out of service, however long a start takes on this machine;
     * otherwise the outcome of a run would depend on the speed of the machine.
     */
    private void restartInTurn(List<FaultTarget.Node> remaining, long intervalNs) {
        if (remaining.isEmpty()) {
            return;
        }
        if (!target.nodes().stream().allMatch(FaultTarget.Node::isServing)) {
            eventQueue.scheduleAfter(SERVING_POLL_NS, () -> restartInTurn(remaining, intervalNs));
            return;
        }
        remaining.get(0).restart();
        eventQueue.scheduleAfter(
                intervalNs,
                () -> restartInTurn(remaining.subList(1, remaining.size()), intervalNs));
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
