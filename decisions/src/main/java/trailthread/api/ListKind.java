package trailthread.api;

/** What a list event holds. */
public enum ListKind {
    /** Only the entries that changed. */
    DELTA,
    /** The complete list. */
    FULL,
    /** The last complete list that this node received, of unknown age. */
    CACHED,
    /** Nothing: a watch or a fetch has failed. */
    FAILED
}
