package trailthread.api;

/** What a list event holds. */
public enum ListKind {
    /** Only entries that changed. */
    DELTA,
    /** The whole list. */
    FULL,
    /** The whole list as this node last had it, perhaps old. */
    CACHED,
    /** A watch or a fetch failed; no entries. */
    FAILED
}
