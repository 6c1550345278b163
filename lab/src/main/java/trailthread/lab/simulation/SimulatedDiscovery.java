package trailthread.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;
import trailthread.lab.random.RandomStreams;

/**
 * Discovery in virtual time. Nodes that watch are notified after a delay, in order, and not at all
 * while discovery is down.
 */
final class SimulatedDiscovery {
    private final Simulation simulation;
    private final UniformRandomProvider random;

    /** In the order in which they were added. */
    private final List<SimulatedServer> servers = new ArrayList<>();

    private final Map<SimulatedNode, Long> lastNotifiedAt = new HashMap<>();
    private boolean down;

    SimulatedDiscovery(Simulation simulation) {
        this.simulation = simulation;
        random = simulation.streams().stream("roster");
    }

    /** The whole endpoint list, which a node that starts now has in its cache. */
    List<EndpointEntry> snapshot() {
        List<EndpointEntry> entries = new ArrayList<>();
        servers.forEach(server -> entries.add(server.entry()));
        return entries;
    }

    void add(SimulatedServer server) {
        servers.add(server);
        setState(server, server.state);
    }

    void setState(SimulatedServer server, EndpointState state) {
        server.state = state;
        EndpointEntry entry = server.entry();
        if (state == EndpointState.GONE) {
            servers.remove(server);
        }
        for (SimulatedNode node : simulation.nodes()) {
            if (node.watching && !down) {
                notifyLater(node, () -> node.receiveList(ListKind.DELTA, List.of(entry)));
            }
        }
    }

    /**
     * Delivers the message after the delay of the scenario and after all earlier messages to this
     * node.
     */
    private void notifyLater(SimulatedNode node, Runnable message) {
        var model = simulation.scenario().discovery();
        long at =
                simulation.now()
                        + (long)
                                RandomStreams.uniform(
                                        random, model.minDelayNs(), model.maxDelayNs());
        at = Math.max(at, lastNotifiedAt.getOrDefault(node, 0L));
        lastNotifiedAt.put(node, at);
        simulation.eventQueue().scheduleAt(at, () -> node.deliver(message));
    }

    void watch(SimulatedNode node, boolean on) {
        if (!on || down) {
            node.watching = false;
            if (on) {
                sendFailure(node);
            }
            return;
        }
        node.watching = true;
        sendSnapshot(node);
    }

    void fetch(SimulatedNode node) {
        if (down) {
            sendFailure(node);
        } else {
            sendSnapshot(node);
        }
    }

    private void sendSnapshot(SimulatedNode node) {
        List<EndpointEntry> entries = snapshot();
        long at =
                Math.max(
                        simulation.now() + simulation.scenario().discovery().minDelayNs(),
                        lastNotifiedAt.getOrDefault(node, 0L));
        lastNotifiedAt.put(node, at);
        simulation
                .eventQueue()
                .scheduleAt(at, () -> node.deliver(() -> node.receiveList(ListKind.FULL, entries)));
    }

    private void sendFailure(SimulatedNode node) {
        simulation
                .eventQueue()
                .scheduleAfter(
                        simulation.scenario().discovery().minDelayNs(),
                        () -> node.deliver(() -> node.receiveList(ListKind.FAILED, List.of())));
    }

    /** Stops discovery, which ends all watches, or starts it again. */
    void setDown(boolean nowDown) {
        down = nowDown;
        if (nowDown) {
            for (SimulatedNode node : simulation.nodes()) {
                if (node.watching) {
                    node.watching = false;
                    sendFailure(node);
                }
            }
        }
    }
}
