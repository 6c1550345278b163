package trailthread.engine.roster;

import java.util.List;

/**
 * One object of the roster.
 *
 * @param reset whether it is the whole list, or only what changed
 */
public record RosterUpdate(long generation, boolean reset, List<RosterEntry> instances) {
}
