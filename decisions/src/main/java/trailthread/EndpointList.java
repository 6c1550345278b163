package trailthread;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.EndpointEntry;
import trailthread.api.EndpointState;
import trailthread.api.ListKind;

/** The endpoints that discovery lists. */
final class EndpointList {
    private final SlowStart slowStart;
    private final Map<String, Endpoint> byName = new HashMap<>();
    private final List<Endpoint> listed = new ArrayList<>();

    EndpointList(SlowStart slowStart) {
        this.slowStart = slowStart;
    }

    /**
     * All listed endpoints, including draining ones, in the order in which they were first listed.
     */
    List<Endpoint> all() {
        return listed;
    }

    int size() {
        return listed.size();
    }

    /** The endpoint of this name, or null. */
    Endpoint get(String name) {
        return byName.get(name);
    }

    /** Applies the entries of a list event: the complete list, or those that changed. */
    void update(ListKind kind, List<EndpointEntry> entries, long now) {
        if (kind != ListKind.DELTA) {
            listed.forEach(Endpoint::remove);
        }
        boolean restarted = false;
        for (EndpointEntry entry : entries) {
            restarted |= update(entry, now);
        }
        if (restarted) {
            listed.replaceAll(endpoint -> byName.get(endpoint.name));
        }
        listed.removeIf(endpoint -> endpoint.isRemoved() && byName.remove(endpoint.name, endpoint));
    }

    /**
     * Applies one entry.
     *
     * @return whether it replaced a listed endpoint, because that endpoint has restarted
     */
    private boolean update(EndpointEntry entry, long now) {
        Endpoint known = byName.get(entry.endpoint());
        if (known == null && entry.state() == EndpointState.GONE) {
            return false;
        }
        boolean restarted =
                known != null
                        && entry.startedAtNs() != known.startedAtNs()
                        && entry.state() == EndpointState.READY;
        if (known != null && !restarted) {
            known.update(entry);
            return false;
        }
        Endpoint fresh = new Endpoint(entry.endpoint());
        byName.put(fresh.name, fresh);
        if (known == null) {
            listed.add(fresh);
        }
        slowStart.endpointAnnounced(entry, now);
        fresh.update(entry);
        return restarted;
    }
}
