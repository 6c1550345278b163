package trailthread.engine.request;

import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;

/**
 * Where the answer to one request goes: exactly one of {@link #served}, {@link #begin}, {@link
 * #refused} and {@link #failed} is called, unless the client disconnects first.
 */
public interface ClientResponse {
    /** Answers with an endpoint's complete response. */
    void served(EndpointResponse made);

    /**
     * Begins an answer that is streamed from an endpoint. The request counts as answered, even if
     * the stream breaks later.
     *
     * @param head status and headers, without a body
     * @param length of the body, in bytes; -1: not known before its end
     * @param more runs when the client can take more bytes after it could not
     * @param gone runs if the client disconnects before the end
     */
    ByteSink begin(EndpointResponse head, long length, Runnable more, Runnable gone);

    /**
     * Checks whether the client is still connected. If it is not, what is to run on its
     * disconnection has run when this returns.
     */
    default void look() {}

    /**
     * The engine holds nothing of the request any more, its body included: it is answered or its
     * client has disconnected, and no attempt is in flight. Called once, after all else.
     */
    default void released() {}

    /**
     * Rejects the request; it had no effect, so a retry is safe.
     *
     * @param retryAfterNs when to retry; 0: no advice
     */
    void refused(long retryAfterNs);

    /** Answers with a failure; the request may have had its effect. */
    void failed();
}
