package trailthread.engine.roster;

/** Where a list of workers comes from. Tells its {@link RosterListener} on the loop's thread. */
public interface WorkerList {
    /** Begins to tell. */
    void start();

    /** The list that was known before, at a start. */
    void known(RosterUpdate update);

    /** Watches from now on, if it does not yet; or stops. */
    void watch(boolean on);

    /** Asks for the whole list once. */
    void fetch();

    /** Tells no more, and closes what it holds. */
    void close();
}
