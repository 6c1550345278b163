package trailthread.engine.roster;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trailthread.BalancerApi.State;

/**
 * One object of the roster.
 *
 * @param reset whether it is the whole list, or only what changed
 */
public record RosterUpdate(long generation, boolean reset, List<RosterEntry> instances) {
    /** The whole list that comes of this one after another whole one. */
    public RosterUpdate onto(RosterUpdate before) {
        Map<String, RosterEntry> all = new LinkedHashMap<>();
        if (!reset) {
            before.instances.forEach(entry -> all.put(entry.instanceId(), entry));
        }
        for (RosterEntry entry : instances) {
            if (entry.lifecycle() == State.GONE) {
                all.remove(entry.instanceId());
            } else {
                all.put(entry.instanceId(), entry);
            }
        }
        return new RosterUpdate(generation, true, List.copyOf(all.values()));
    }
}
