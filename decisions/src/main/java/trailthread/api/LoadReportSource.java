package trailthread.api;

/** How load reports reach the node. */
public enum LoadReportSource {
    /** With the responses to requests. */
    RESPONSES,
    /** Only with the responses to health checks. */
    HEALTH_CHECKS,
    /** Not at all. */
    NONE
}
