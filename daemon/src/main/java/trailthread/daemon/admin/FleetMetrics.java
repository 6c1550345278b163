package trailthread.daemon.admin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;
import trailthread.api.EndpointState;

/**
 * All endpoints, told in a bounded space.
 *
 * @param worst the worst of them, the worst first
 * @param rest how many more there are; what follows is their sum
 */
record FleetMetrics(
        int ready,
        int draining,
        List<EndpointMetrics> worst,
        int rest,
        long restInFlight,
        long restAttempts,
        long restFailures,
        double restQueue) {

    static FleetMetrics of(Collection<EndpointMetrics> endpoints, int most) {
        PriorityQueue<EndpointMetrics> worst =
                new PriorityQueue<>(most + 1, EndpointMetrics.BEST_FIRST);
        int ready = 0;
        int rest = 0;
        long inFlight = 0;
        long attempts = 0;
        long failures = 0;
        double queue = 0;
        for (EndpointMetrics endpoint : endpoints) {
            ready += endpoint.state == EndpointState.READY ? 1 : 0;
            EndpointMetrics left = endpoint;
            if (worst.size() < most
                    || EndpointMetrics.BEST_FIRST.compare(endpoint, worst.peek()) > 0) {
                worst.add(endpoint);
                left = worst.size() > most ? worst.poll() : null;
            }
            if (left != null) {
                rest++;
                inFlight += left.inFlight;
                attempts += left.attempts;
                failures += left.failures;
                queue += EndpointMetrics.orZero(left.queue);
            }
        }
        List<EndpointMetrics> shown = new ArrayList<>(worst.size());
        while (!worst.isEmpty()) {
            shown.add(worst.poll().copy());
        }
        Collections.reverse(shown);
        return new FleetMetrics(
                ready, endpoints.size() - ready, shown, rest, inFlight, attempts, failures, queue);
    }
}
