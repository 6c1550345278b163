package trailthread.lab.baseline;

/** What no real node can see: the servers as they are now. Only {@link OraclePolicy} looks. */
public interface FleetView {
    /** What a request of mean size is, in ns of work on a standard core. */
    double meanWorkNs();

    /**
     * How long one more request would take there, for each ns of its work, behind all that it holds
     * and that is on its way to it; infinite where it would not be served.
     */
    double expectedSlowdown(String server);
}
