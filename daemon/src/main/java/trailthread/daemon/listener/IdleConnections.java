package trailthread.daemon.listener;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.Set;

/** The connections between two requests, and their number for each owner. */
final class IdleConnections {
    /** In the order in which they became idle. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    private final Set<ClientConnection> longestIdleFirst = Collections.unmodifiableSet(connections);
    private final IdentityHashMap<Object, Integer> countByOwner = new IdentityHashMap<>();

    void add(ClientConnection client) {
        connections.add(client);
        if (client.owner() != null) {
            countByOwner.merge(client.owner(), 1, Integer::sum);
        }
    }

    void remove(ClientConnection client) {
        if (connections.remove(client) && client.owner() != null) {
            countByOwner.computeIfPresent(
                    client.owner(), (owner, count) -> count == 1 ? null : count - 1);
        }
    }

    int size() {
        return connections.size();
    }

    /** A view of the connections, the longest idle first. */
    Set<ClientConnection> longestIdleFirst() {
        return longestIdleFirst;
    }

    /**
     * Whether an owner has at least an equal share of the idle connections. Only connections of
     * such owners are closed to free descriptors. Otherwise, many idle connections to one service
     * would cause those to other services to be closed.
     *
     * @param owner null if connections have no owners
     */
    boolean holdsFairShare(Object owner) {
        int owners = countByOwner.size();
        if (owner == null || owners < 2) {
            return true;
        }
        return (long) countByOwner.getOrDefault(owner, 0) * owners >= connections.size();
    }
}
