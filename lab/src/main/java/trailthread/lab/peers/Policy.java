package trailthread.lab.peers;

import trailthread.BalancerApi.Actions;
import trailthread.BalancerApi.Events;
import trailthread.BalancerApi.Settings;

/** What decides for a node; made anew at each start of one. */
public interface Policy {
    /** One word, as on the command line. */
    String name();

    /** One line for people: what it does, and after which paper. */
    String about();

    /** Makes the decisions of one node, which share nothing with those of others. */
    Events make(Settings settings, long seed, long now, Actions actions, Truth truth);
}
