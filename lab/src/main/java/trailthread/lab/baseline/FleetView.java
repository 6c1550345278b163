package trailthread.lab.baseline;

/** The true state of the servers, which no real node can see. Only {@link OraclePolicy} uses it. */
public interface FleetView {
    /** The mean work of a request, in ns on a standard core. */
    double meanWorkNs();

    /**
     * The expected response time of one more request at this server divided by its work, behind all
     * requests in flight and on their way; infinite if the request would not be served.
     */
    double expectedSlowdown(String server);
}
