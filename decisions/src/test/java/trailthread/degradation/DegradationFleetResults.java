package trailthread.degradation;

import java.util.ArrayList;
import java.util.List;

/** The outcomes of the requests of a simulated fleet, over all nodes. */
final class DegradationFleetResults {
    /** Requests that arrived, by class. */
    final int[] arrived;

    /** Requests that were answered within their latency objective, by class. */
    final int[] served;

    /** Attempts, by endpoint. */
    final int[] sent;

    /** Changes of level. */
    final List<Change> changes = new ArrayList<>();

    DegradationFleetResults(int classes, int endpoints) {
        arrived = new int[classes];
        served = new int[classes];
        sent = new int[endpoints];
    }

    /** Share of the requests of a class that were answered within their latency objective. */
    double servedShare(int requestClass) {
        return (double) served[requestClass] / arrived[requestClass];
    }

    /** Share of all attempts that went to an endpoint. */
    double sentShare(int endpoint) {
        int total = 0;
        for (int attempts : sent) {
            total += attempts;
        }
        return (double) sent[endpoint] / total;
    }
}
