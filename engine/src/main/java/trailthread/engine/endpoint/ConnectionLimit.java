package trailthread.engine.endpoint;

/**
 * Limits the number of connections to endpoints. Each {@link #tryAcquire} that returns true is
 * followed by one {@link #release}.
 */
public interface ConnectionLimit {
    /** Acquires a permit for another connection, if one is free; returns whether it did. */
    boolean tryAcquire();

    /** Releases the permit of a connection that was closed or could not be established. */
    void release();

    /**
     * Returns whether an idle connection may be kept open; if not, another connection needs its
     * permit.
     */
    boolean mayKeepIdle();

    /** Returns a limit of a fixed number of connections. */
    static ConnectionLimit of(int max) {
        return new FixedConnectionLimit(max);
    }
}
