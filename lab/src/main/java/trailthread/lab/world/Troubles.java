package trailthread.lab.world;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.BalancerApi.State;
import trailthread.lab.scenario.Scenario.Fault;

/** Makes go wrong, when it is to, what the scenario lists. */
final class Troubles {
    /** How long a worker that drains goes on before it ends, and how long its next start takes. */
    private static final long DRAINS_NS = 2_000_000_000L;
    private static final long STARTS_NS = 1_000_000_000L;
    private static final long COLD_FLEET_NS = 2_000_000_000L;

    private final World world;

    Troubles(World world) {
        this.world = world;
    }

    void arrange(List<Fault> faults) {
        for (int i = 0; i < faults.size(); i++) {
            Fault fault = faults.get(i);
            UniformRandomProvider random = world.streams().of("fault " + i);
            world.agenda().at(world.begin() + fault.atNs(), () -> begin(fault, random));
        }
    }

    private <T> List<T> struck(List<T> all, double part, UniformRandomProvider random) {
        List<T> left = new ArrayList<>(all);
        List<T> struck = new ArrayList<>();
        int count = Math.min(left.size(), (int) Math.max(part > 0 ? 1 : 0, Math.round(part * left.size())));
        while (struck.size() < count) {
            struck.add(left.remove(random.nextInt(left.size())));
        }
        return struck;
    }

    private List<SimWorker> workers(Fault fault, UniformRandomProvider random) {
        return struck(world.workers().stream()
                .filter(w -> w.state == State.READY && (fault.zone() == null || w.zone.equals(fault.zone()))).toList(),
                fault.part(), random);
    }

    private void later(long delayNs, Runnable task) {
        world.agenda().in(delayNs, task);
    }

    private void begin(Fault fault, UniformRandomProvider random) {
        switch (fault.trouble()) {
            case FAST_ERRORS -> forAWhile(fault, random, w -> w.failing = fault.size(), w -> w.failing = 0);
            case LOST_ANSWERS -> forAWhile(fault, random, w -> w.losing = fault.size(), w -> w.losing = 0);
            case SLOW -> forAWhile(fault, random, w -> w.slow(fault.size()), w -> w.slow(1));
            case CUT -> forAWhile(fault, random, w -> w.cut = true, w -> w.cut = false);
            case LATE_REPORTS -> {
                world.setReportsLate((long) (fault.size() * 1e9));
                later(fault.forNs(), () -> world.setReportsLate(0));
            }
            case HEAVY_TAIL -> {
                world.setTail(fault.extra(), fault.size());
                later(fault.forNs(), () -> world.setTail(0, 1));
            }
            case ZONE_CUT -> {
                world.cutZone(fault.zone());
                later(fault.forNs(), () -> world.cutZone(null));
            }
            case RESTART, REPLACE -> {
                List<SimWorker> all = workers(fault, random);
                for (int i = 0; i < all.size(); i++) {
                    SimWorker worker = all.get(i);
                    later(fault.forNs() * i / all.size(), () -> drain(worker,
                            fault.trouble() == trailthread.lab.scenario.Scenario.Trouble.REPLACE));
                }
            }
            case COLD_FLEET -> workers(fault, random).forEach(worker -> {
                worker.goDown();
                later(COLD_FLEET_NS, () -> back(worker));
            });
            case ROSTER_DOWN -> {
                world.roster().down(true);
                later(fault.forNs(), () -> world.roster().down(false));
            }
            case NODE_KILL -> struck(world.nodes(), fault.part(), random).forEach(node -> {
                node.kill();
                later(fault.forNs(), () -> node.start(world.roster().whole()));
            });
            case NODE_PAUSE -> struck(world.nodes(), fault.part(), random)
                    .forEach(node -> node.pause(world.now() + fault.forNs()));
            default -> throw new IllegalStateException(fault.trouble().name());
        }
    }

    private void forAWhile(Fault fault, UniformRandomProvider random, java.util.function.Consumer<SimWorker> on,
            java.util.function.Consumer<SimWorker> off) {
        List<SimWorker> struck = workers(fault, random);
        struck.forEach(on);
        later(fault.forNs(), () -> struck.forEach(off));
    }

    private void drain(SimWorker worker, boolean replace) {
        world.roster().changed(worker, State.DRAINING);
        later(DRAINS_NS, () -> {
            worker.goDown();
            if (replace) {
                world.roster().changed(worker, State.GONE);
                later(STARTS_NS, () -> world.replace(worker));
            } else {
                later(STARTS_NS, () -> back(worker));
            }
        });
    }

    private void back(SimWorker worker) {
        worker.comeUp();
        world.roster().changed(worker, State.READY);
    }
}
