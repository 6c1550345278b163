package trailthread.api;

/** What {@link EndpointEntry#weight} means. */
public enum WeightMeaning {
    /** Nothing. */
    NONE,
    /** The endpoint's size, exactly. */
    NOMINAL,
    /** The endpoint's size, approximately. */
    ROUGH,
    /** The endpoint's size less its load at present. */
    LIVE
}
