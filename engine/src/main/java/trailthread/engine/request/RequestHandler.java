package trailthread.engine.request;

/** Handles the requests that clients send. */
public interface RequestHandler {
    /**
     * Handles a request that has been received. It is answered through {@code response} by the
     * deadline, unless the client disconnects first.
     *
     * @param deadline when the client stops waiting: Unix time in nanoseconds, by the loop's clock
     * @return a task to run if the client disconnects before the request is answered
     */
    Runnable handle(ClientRequest request, long deadline, ClientResponse response);

    /**
     * Handles a request that the host does not admit, as it has no memory for it. It is rejected;
     * its body may have been discarded.
     *
     * @return a task to run if the client disconnects before the request is answered
     */
    default Runnable handleUnadmitted(
            ClientRequest request, long deadline, ClientResponse response) {
        response.reject(0);
        response.onReleased();
        return () -> {};
    }

    /**
     * Returns whether a request with this correlation id is open. A second request with the same id
     * must not be handled while the first one is open.
     */
    boolean isOpen(String correlationId);

    /**
     * Returns whether a request with this correlation id may have run and must not run again, as it
     * failed or its client has disconnected.
     */
    default boolean isSpent(String correlationId) {
        return false;
    }
}
