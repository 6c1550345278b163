package trailthread.lab.simulation;

/** The decisions under test have asked for what nobody can do: the run ends here. */
public final class BalancerFailureException extends RuntimeException {
    private static final long serialVersionUID = 1;

    BalancerFailureException(long at, int node, String what) {
        super(String.format(java.util.Locale.ROOT, "%.6f s, node %d: %s", at / 1e9, node, what));
    }
}
