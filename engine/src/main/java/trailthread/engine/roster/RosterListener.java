package trailthread.engine.roster;

/** Hears what the roster says. */
public interface RosterListener {
    /** A whole list, or what changed. */
    void told(RosterUpdate update);

    /** A watch or a fetch failed; what was told before stands. */
    void failed();
}
