package trailthread.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.lab.random.Streams;

/**
 * The list of workers in virtual time: told to those who watch, late, in order, or not at all while
 * it is down.
 */
final class SimRoster {
    private final World world;
    private final UniformRandomProvider random;

    /** In the order in which workers were first named. */
    private final List<SimWorker> listed = new ArrayList<>();

    private final Map<SimNode, Long> lastTold = new HashMap<>();
    private boolean down;

    SimRoster(World world) {
        this.world = world;
        random = world.streams().of("roster");
    }

    /** The whole list, as a node that starts now would have had it. */
    List<EndpointEntry> whole() {
        List<EndpointEntry> entries = new ArrayList<>();
        listed.forEach(worker -> entries.add(worker.entry()));
        return entries;
    }

    void add(SimWorker worker) {
        listed.add(worker);
        changed(worker, worker.state);
    }

    /** A worker's state is this now. */
    void changed(SimWorker worker, EndpointState state) {
        worker.state = state;
        EndpointEntry entry = worker.entry();
        if (state == EndpointState.GONE) {
            listed.remove(worker);
        }
        for (SimNode node : world.nodes()) {
            if (node.watches && !down) {
                tell(node, () -> node.list(ListKind.DELTA, List.of(entry)));
            }
        }
    }

    /** After the usual delay, and after all that was to be told before. */
    private void tell(SimNode node, Runnable news) {
        var law = world.scenario().list();
        long at = world.now() + (long) Streams.uniform(random, law.lowNs(), law.highNs());
        at = Math.max(at, lastTold.getOrDefault(node, 0L));
        lastTold.put(node, at);
        world.agenda().at(at, () -> node.input(news));
    }

    void watch(SimNode node, boolean on) {
        if (!on || down) {
            node.watches = false;
            if (on) {
                failed(node);
            }
            return;
        }
        node.watches = true;
        whole(node);
    }

    void fetch(SimNode node) {
        if (down) {
            failed(node);
        } else {
            whole(node);
        }
    }

    private void whole(SimNode node) {
        List<EndpointEntry> entries = whole();
        long at =
                Math.max(
                        world.now() + world.scenario().list().lowNs(),
                        lastTold.getOrDefault(node, 0L));
        lastTold.put(node, at);
        world.agenda().at(at, () -> node.input(() -> node.list(ListKind.FULL, entries)));
    }

    private void failed(SimNode node) {
        world.agenda()
                .in(
                        world.scenario().list().lowNs(),
                        () -> node.input(() -> node.list(ListKind.FAILED, List.of())));
    }

    /** It answers nothing from now on, and watches break; or it is back. */
    void down(boolean on) {
        down = on;
        if (on) {
            for (SimNode node : world.nodes()) {
                if (node.watches) {
                    node.watches = false;
                    failed(node);
                }
            }
        }
    }
}
