package trailthread.engine.request;

/** Takes the calls that clients make. */
public interface RequestHandler {
    /**
     * A call has come whole; {@code reply} must answer it by its deadline.
     *
     * @param deadline when the client goes away, by the node's clock
     * @return what to run if the client goes away before it is answered
     */
    Runnable take(ClientRequest call, long deadline, ClientResponse reply);

    /** Whether a call with this id is at work; another one may not be taken beside it. */
    boolean isOpen(String id);
}
