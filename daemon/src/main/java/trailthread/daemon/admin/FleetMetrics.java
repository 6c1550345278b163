package trailthread.daemon.admin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;
import trailthread.api.EndpointState;

/**
 * The metrics of all endpoints, in bounded memory.
 *
 * @param readyCount the number of ready endpoints
 * @param drainingCount the number of other listed endpoints
 * @param worstEndpoints metrics of each of the worst endpoints, the worst first
 * @param otherEndpoints sums of the metrics of all other endpoints
 */
record FleetMetrics(
        int readyCount,
        int drainingCount,
        List<EndpointMetrics> worstEndpoints,
        EndpointTotals otherEndpoints) {

    /**
     * Copies the metrics of the worst endpoints, and sums up those of the others.
     *
     * @param maxWorst the maximum number of endpoints in {@link #worstEndpoints}
     */
    static FleetMetrics summarize(Collection<EndpointMetrics> endpoints, int maxWorst) {
        PriorityQueue<EndpointMetrics> worst =
                new PriorityQueue<>(maxWorst + 1, EndpointMetrics.BEST_FIRST);
        EndpointTotals others = new EndpointTotals();
        int ready = 0;
        for (EndpointMetrics endpoint : endpoints) {
            ready += endpoint.state == EndpointState.READY ? 1 : 0;
            boolean isWorse =
                    worst.size() < maxWorst
                            || EndpointMetrics.BEST_FIRST.compare(endpoint, worst.peek()) > 0;
            if (!isWorse) {
                others.add(endpoint);
                continue;
            }
            worst.add(endpoint);
            if (worst.size() > maxWorst) {
                others.add(worst.poll());
            }
        }
        return new FleetMetrics(ready, endpoints.size() - ready, copyReversed(worst), others);
    }

    private static List<EndpointMetrics> copyReversed(PriorityQueue<EndpointMetrics> bestFirst) {
        List<EndpointMetrics> copies = new ArrayList<>(bestFirst.size());
        while (!bestFirst.isEmpty()) {
            copies.add(bestFirst.poll().copy());
        }
        Collections.reverse(copies);
        return copies;
    }
}
