package trailthread.api;

/** What {@link EndpointEntry#weight} means. */
public enum WeightMeaning {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE
}
