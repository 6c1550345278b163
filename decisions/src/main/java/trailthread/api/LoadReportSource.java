package trailthread.api;

/** How load reports reach the node. */
public enum LoadReportSource {
    /** With the responses to requests. */
    ANSWERS,
    /** Only with the responses to health checks. */
    PROBES,
    /** Not at all. */
    NONE
}
