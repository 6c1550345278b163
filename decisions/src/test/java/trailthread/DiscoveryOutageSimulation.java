package trailthread;

import static trailthread.ScriptedBalancer.MS;

import java.util.ArrayList;
import java.util.List;
import trailthread.api.ListKind;

/**
 * Simulates discovery after an outage, and nodes that poll it, in virtual time. Discovery serves
 * one poll after another, and a poll that waits for too long fails.
 */
final class DiscoveryOutageSimulation {
    static final int TICK_MS = 10;

    /** Time from the start of a process to its first event. */
    private static final int START_UP_MS = 1_400;

    /** The simulation ends this long after the outage, even if a node has no list by then. */
    private static final int LIMIT_MS = 120_000;

    /** Starts a node again. */
    interface Starter {
        /**
         * Starts a node.
         *
         * @param atMs when, in milliseconds from the beginning
         */
        ScriptedBalancer start(int node, int atMs);
    }

    /**
     * An outage from the beginning of the simulation. Polls fail at once, and time out towards the
     * end of the outage.
     *
     * @param downMs how long the outage lasts
     * @param hangsMs how long before the end of the outage polls start to time out
     */
    record Outage(int downMs, int hangsMs) {}

    /** A node, and its poll if it has one. */
    private static final class Node {
        ScriptedBalancer balancer;

        /** When the node received the list; 0: it has not. */
        int receivedAtMs;

        /** When the poll of the node ends; 0: it has none. */
        int pollEndsAtMs;

        boolean pollFails;

        Node(ScriptedBalancer balancer) {
            this.balancer = balancer;
        }
    }

    private final double serveMs;
    private final long pollTimeoutMs;
    private final boolean servesTimedOutPolls;
    private final Outage outage;
    private final List<Node> nodes = new ArrayList<>();
    private int killedCount;
    private int killedAtMs;
    private Starter starter;

    /** When discovery will have served all polls received so far. */
    private double servedByMs;

    /**
     * Creates a discovery that is down.
     *
     * @param serveMs how long it takes to serve one poll
     * @param servesTimedOutPolls whether discovery spends that time on polls that have timed out,
     *     too
     */
    DiscoveryOutageSimulation(
            double serveMs, long pollTimeoutMs, boolean servesTimedOutPolls, Outage outage) {
        this.serveMs = serveMs;
        this.pollTimeoutMs = pollTimeoutMs;
        this.servesTimedOutPolls = servesTimedOutPolls;
        this.outage = outage;
        servedByMs = outage.downMs;
    }

    /**
     * Schedules the kill and restart of the first nodes at a time after the outage.
     *
     * @param afterMs when, in milliseconds from the end of the outage
     */
    void kill(int first, int afterMs, Starter next) {
        killedCount = first;
        killedAtMs = outage.downMs + afterMs;
        starter = next;
    }

    /**
     * When each node receives the list, in milliseconds from the end of the outage, sorted; {@link
     * Integer#MAX_VALUE}: the node does not receive it.
     */
    int[] receivedAfterMs(List<ScriptedBalancer> balancers) {
        balancers.forEach(balancer -> nodes.add(new Node(balancer)));
        for (int at = 0; isAnyWithoutList() && at < outage.downMs + LIMIT_MS; at += TICK_MS) {
            for (int i = 0; i < nodes.size(); i++) {
                if (i < killedCount) {
                    restart(i, at);
                }
                boolean isUp =
                        i >= killedCount || at < killedAtMs || at >= killedAtMs + START_UP_MS;
                if (isUp && nodes.get(i).receivedAtMs == 0) {
                    advance(nodes.get(i), at);
                }
            }
        }
        return nodes.stream()
                .mapToInt(node -> node.receivedAtMs)
                .map(ms -> ms == 0 ? Integer.MAX_VALUE : ms - outage.downMs)
                .sorted()
                .toArray();
    }

    private boolean isAnyWithoutList() {
        return nodes.stream().anyMatch(node -> node.receivedAtMs == 0);
    }

    private void restart(int index, int at) {
        Node node = nodes.get(index);
        if (at == killedAtMs) {
            node.receivedAtMs = 0;
            node.pollEndsAtMs = 0;
        }
        if (at == killedAtMs + START_UP_MS) {
            node.balancer = starter.start(index, at);
        }
    }

    private void advance(Node node, int at) {
        if (node.pollEndsAtMs > 0 && at >= node.pollEndsAtMs) {
            node.pollEndsAtMs = 0;
            if (!node.pollFails) {
                node.receivedAtMs = at;
                return;
            }
            node.balancer.balancer.updateEndpointList(
                    node.balancer.now, ListKind.FAILED, List.of());
        }
        int before = node.balancer.watches;
        node.balancer.advance(TICK_MS * MS);
        if (node.balancer.watches > before && node.pollEndsAtMs == 0) {
            node.pollEndsAtMs = at + TICK_MS + (int) poll(node, at);
        }
    }

    /** Handles a node's poll; returns how long the poll lasts, in milliseconds. */
    private double poll(Node node, int at) {
        if (at < outage.downMs) {
            node.pollFails = true;
            return at >= outage.downMs - outage.hangsMs ? pollTimeoutMs : 0;
        }
        double waitsMs = Math.max(0, servedByMs - at);
        node.pollFails = waitsMs > pollTimeoutMs;
        if (!node.pollFails || servesTimedOutPolls) {
            servedByMs = Math.max(servedByMs, at) + serveMs;
        }
        return Math.min(pollTimeoutMs, waitsMs + serveMs);
    }
}
