package trailthread.engine.request;

import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;

/** How one call is answered: by exactly one of these. */
public interface ClientResponse {
    /** What an endpoint made. */
    void served(EndpointResponse made);

    /**
     * A long answer begins that an endpoint makes; the call has its answer then, whatever becomes
     * of it.
     *
     * @param head without a body
     * @param length of the body, in bytes; -1: its end will tell
     * @param more to be run when there is room for more after there was none
     * @param gone to be run if the client goes away before the end
     */
    ByteSink begin(EndpointResponse head, long length, Runnable more, Runnable gone);

    /**
     * Looks whether the client is still there; what was to run if it goes away has run when this
     * returns.
     */
    default void look() {}

    /**
     * Nothing of the call is kept any more, its body neither: it has its answer or its client has
     * gone, and no attempt is out. Told once, after all else.
     */
    default void released() {}

    /** A refusal: trying again is harmless; 0: no advice on when. */
    void refused(long retryAfterNs);

    /** The call failed; it may have had its effect. */
    void failed();
}
