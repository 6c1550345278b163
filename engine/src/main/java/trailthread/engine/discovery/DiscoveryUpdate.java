package trailthread.engine.discovery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.EndpointState;

/**
 * One update that discovery sends: a complete endpoint list, or a change to the list.
 *
 * @param generation the version of the list after this update
 * @param reset whether {@code instances} is the complete list; else it holds only what changed
 * @param instances the endpoints that are listed, have changed or are gone
 */
public record DiscoveryUpdate(long generation, boolean reset, List<DiscoveredEndpoint> instances) {
    /**
     * Returns the complete list that results from applying this update.
     *
     * @param before the complete list before this update
     */
    public DiscoveryUpdate appliedTo(DiscoveryUpdate before) {
        Map<String, DiscoveredEndpoint> endpoints = new LinkedHashMap<>();
        if (!reset) {
            before.instances.forEach(entry -> endpoints.put(entry.instanceId(), entry));
        }
        for (DiscoveredEndpoint entry : instances) {
            if (entry.lifecycle() == EndpointState.GONE) {
                endpoints.remove(entry.instanceId());
            } else {
                endpoints.put(entry.instanceId(), entry);
            }
        }
        return new DiscoveryUpdate(generation, true, List.copyOf(endpoints.values()));
    }
}
