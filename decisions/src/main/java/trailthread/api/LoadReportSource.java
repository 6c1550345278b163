package trailthread.api;

/** How load reports reach the node. */
public enum LoadReportSource {
    ANSWERS,
    PROBES,
    NONE
}
