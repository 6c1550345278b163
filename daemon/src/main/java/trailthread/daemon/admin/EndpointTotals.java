package trailthread.daemon.admin;

/** Sums over several endpoints. */
final class EndpointTotals {
    private int endpoints;
    private long inFlight;
    private long attempts;
    private long failures;
    private double queue;

    void add(EndpointMetrics endpoint) {
        endpoints++;
        inFlight += endpoint.inFlight;
        attempts += endpoint.attempts;
        failures += endpoint.failures;
        queue += EndpointMetrics.orZero(endpoint.queue);
    }

    /** How many endpoints were added. */
    int endpoints() {
        return endpoints;
    }

    long inFlight() {
        return inFlight;
    }

    long attempts() {
        return attempts;
    }

    long failures() {
        return failures;
    }

    double queue() {
        return queue;
    }
}
