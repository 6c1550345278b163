package trailthread.engine.request;

/** Handles the requests that clients send. */
public interface RequestHandler {
    /**
     * Admits a request that has been received; {@code response} answers it by its deadline.
     *
     * @param deadline when the client stops waiting, by the loop's clock
     * @return to be run if the client disconnects before it is answered
     */
    Runnable take(ClientRequest request, long deadline, ClientResponse response);

    /** Whether a request with this client's id is open; a second one may not be admitted then. */
    boolean isOpen(String clientId);
}
