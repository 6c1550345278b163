package trailthread.lab.simulation;

/**
 * The balancer under test requested an impossible action, such as sending to an endpoint that is in
 * no list, or got into an endless loop. The run ends.
 */
public final class BalancerFailureException extends RuntimeException {
    private static final long serialVersionUID = 1;

    BalancerFailureException(long at, int node, String problem) {
        super(String.format(java.util.Locale.ROOT, "%.6f s, node %d: %s", at / 1e9, node, problem));
    }
}
