package trailthread.daemon.admin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;
import trailthread.api.EndpointState;

/**
 * The metrics of all endpoints, in bounded space.
 *
 * @param ready how many endpoints are ready
 * @param draining how many are not
 * @param worst the worst of them one by one, the worst first
 * @param others the sums over all others
 */
record FleetMetrics(int ready, int draining, List<EndpointMetrics> worst, EndpointTotals others) {

    /**
     * Copies the metrics of the worst endpoints, and sums up the others.
     *
     * @param maxShown how many endpoints are copied at most
     */
    static FleetMetrics of(Collection<EndpointMetrics> endpoints, int maxShown) {
        PriorityQueue<EndpointMetrics> worst =
                new PriorityQueue<>(maxShown + 1, EndpointMetrics.BEST_FIRST);
        EndpointTotals others = new EndpointTotals();
        int ready = 0;
        for (EndpointMetrics endpoint : endpoints) {
            ready += endpoint.state == EndpointState.READY ? 1 : 0;
            boolean isWorse =
                    worst.size() < maxShown
                            || EndpointMetrics.BEST_FIRST.compare(endpoint, worst.peek()) > 0;
            if (!isWorse) {
                others.add(endpoint);
                continue;
            }
            worst.add(endpoint);
            if (worst.size() > maxShown) {
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
