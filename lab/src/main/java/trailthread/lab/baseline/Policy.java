package trailthread.lab.baseline;

import trailthread.api.BalancerActions;
import trailthread.api.BalancerEvents;
import trailthread.api.Settings;

/** What decides for a node; made anew at each start of one. */
public interface Policy {
    /** One word, as on the command line. */
    String name();

    /** One line for people: what it does, and after which paper. */
    String description();

    /** Makes the decisions of one node, which share nothing with those of others. */
    BalancerEvents create(
            Settings settings, long seed, long now, BalancerActions actions, FleetView fleetView);
}
