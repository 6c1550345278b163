package trailthread.engine.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The requests that are not answered yet or still have an attempt in flight. */
final class ActiveRequests {
    private final Map<Long, ActiveRequest> byId = new HashMap<>();

    /** The correlation ids of these requests, by which endpoints recognize duplicates. */
    private final Set<String> correlationIds = new HashSet<>();

    void add(long id, String correlationId, ActiveRequest request) {
        byId.put(id, request);
        correlationIds.add(correlationId);
    }

    /** Removes a request; returns whether it was present. */
    boolean remove(long id, String correlationId, ActiveRequest request) {
        boolean removed = byId.remove(id, request);
        if (removed) {
            correlationIds.remove(correlationId);
        }
        return removed;
    }

    /** Returns the request with this id, or null if it has ended. */
    ActiveRequest get(long id) {
        return byId.get(id);
    }

    boolean hasCorrelationId(String correlationId) {
        return correlationIds.contains(correlationId);
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    int size() {
        return byId.size();
    }

    /** Returns a copy, which does not change while requests end. */
    List<ActiveRequest> snapshot() {
        return List.copyOf(byId.values());
    }
}
