package trailthread.engine.discovery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trailthread.api.EndpointState;

/**
 * One object of discovery.
 *
 * @param reset whether it is the whole list, or only what changed
 */
public record DiscoveryUpdate(long generation, boolean reset, List<DiscoveredEndpoint> instances) {
    /** The whole list that comes of this one after another whole one. */
    public DiscoveryUpdate onto(DiscoveryUpdate before) {
        Map<String, DiscoveredEndpoint> all = new LinkedHashMap<>();
        if (!reset) {
            before.instances.forEach(entry -> all.put(entry.instanceId(), entry));
        }
        for (DiscoveredEndpoint entry : instances) {
            if (entry.lifecycle() == EndpointState.GONE) {
                all.remove(entry.instanceId());
            } else {
                all.put(entry.instanceId(), entry);
            }
        }
        return new DiscoveryUpdate(generation, true, List.copyOf(all.values()));
    }
}
