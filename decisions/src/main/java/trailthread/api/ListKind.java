package trailthread.api;

/** What a list event holds. */
public enum ListKind {
    /** Only the entries that changed. */
    DELTA,
    /** The complete list. */
    FULL,
    /** The complete list as this node had it last, of unknown age. */
    CACHED,
    /** Nothing: a watch or a fetch has failed. */
    FAILED
}
