package trailthread.engine.endpoint;

/**
 * Limits the number of connections to endpoints. Each {@link #take} that is granted is followed by
 * one {@link #give}.
 */
public interface ConnectionLimit {
    /** Takes a permit for another connection; returns whether it was granted. */
    boolean take();

    /** Gives back the permit of a connection that was closed or could not be established. */
    void give();

    /** Returns whether a connection may be kept while it is idle, as no one else needs it more. */
    boolean mayKeepIdle();

    /** Returns a limit of a fixed number of connections. */
    static ConnectionLimit of(int max) {
        return new FixedConnectionLimit(max);
    }
}
