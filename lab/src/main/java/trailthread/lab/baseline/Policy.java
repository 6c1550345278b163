package trailthread.lab.baseline;

import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.Settings;

/** Creates the balancer of a node, anew at each start of the node. */
public interface Policy {
    /** The name on the command line. */
    String name();

    /** One line on what it does and which paper it follows. */
    String description();

    /** Creates a balancer that shares nothing with those of other nodes. */
    BalancerEvents create(
            Settings settings, long seed, long now, BalancerActions actions, FleetView fleetView);
}
