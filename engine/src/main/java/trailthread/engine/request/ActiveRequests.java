package trailthread.engine.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The requests that are open or still have an attempt in flight. */
final class ActiveRequests {
    private final Map<Long, ActiveRequest> byId = new HashMap<>();

    /** The clients' ids of these: endpoints recognize duplicates of a request by it. */
    private final Set<String> clientIds = new HashSet<>();

    void add(long id, String clientId, ActiveRequest request) {
        byId.put(id, request);
        clientIds.add(clientId);
    }

    /** Removes a request; whether it was still here. */
    boolean remove(long id, String clientId, ActiveRequest request) {
        boolean removed = byId.remove(id, request);
        if (removed) {
            clientIds.remove(clientId);
        }
        return removed;
    }

    /** The request with this id, or null: it has ended. */
    ActiveRequest get(long id) {
        return byId.get(id);
    }

    boolean hasClientId(String clientId) {
        return clientIds.contains(clientId);
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    int size() {
        return byId.size();
    }

    /** A copy, which stays as it is while requests end. */
    List<ActiveRequest> snapshot() {
        return List.copyOf(byId.values());
    }
}
