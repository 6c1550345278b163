package trailthread.daemon.admin;

/** Sums of the metrics of several endpoints. */
final class EndpointTotals {
    private int endpointCount;
    private long inFlight;
    private long attempts;
    private long failures;
    private double queue;

    void add(EndpointMetrics endpoint) {
        endpointCount++;
        inFlight += endpoint.inFlight;
        attempts += endpoint.attempts;
        failures += endpoint.failures;
        queue += EndpointMetrics.orZero(endpoint.queue);
    }

    /** The number of endpoints added. */
    int endpointCount() {
        return endpointCount;
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
