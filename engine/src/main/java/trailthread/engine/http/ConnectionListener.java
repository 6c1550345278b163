package trailthread.engine.http;

/** Receives the events of a connection that belong to no exchange. */
public interface ConnectionListener {
    /** The connection was closed, by either side. Called once. */
    void closed();

    /** Surplus bytes have arrived; the connection is closed next. */
    default void surplusReceived(Surplus surplus) {}
}
