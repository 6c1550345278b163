package trailthread.engine.request;

import trailthread.engine.endpoint.EndpointResponse;
import trailthread.engine.http.ByteSink;

/**
 * The response to one client request. Exactly one of {@link #respond}, {@link #beginStreaming},
 * {@link #reject} and {@link #fail} is called, unless the client disconnects first.
 */
public interface ClientResponse {
    /** Answers with an endpoint's complete response. */
    void respond(EndpointResponse response);

    /**
     * Starts a response whose body is streamed from an endpoint. The request counts as answered,
     * even if the stream breaks later.
     *
     * @param head status and headers, without a body
     * @param length the length of the body in bytes; -1: not known
     * @param onCapacity runs when more bytes can be written to the client, after the returned sink
     *     had no capacity
     * @param onDisconnect runs if the client disconnects before the end of the body
     * @return receives the body
     */
    ByteSink beginStreaming(
            EndpointResponse head, long length, Runnable onCapacity, Runnable onDisconnect);

    /**
     * Checks whether the client is still connected. If it has disconnected, the disconnect callback
     * of the request has run when this method returns.
     *
     * @return false if that is unknown, as the client has sent more behind the request than is read
     */
    default boolean checkConnected() {
        return true;
    }

    /**
     * Reserves memory to buffer the response in, until it is released here or the request and its
     * response have ended.
     *
     * @return false if there is none left: the response must be streamed
     */
    default boolean tryReserveMemory(long bytes) {
        return true;
    }

    /** Releases a part of the reserved memory. */
    default void releaseMemory(long bytes) {}

    /** Called when the engine no longer refers to the request's body, before the end. */
    default void onBodyReleased() {}

    /**
     * Called once, after all other methods, when the engine no longer refers to the request or its
     * body: the request is answered or its client has disconnected, and no attempt is in flight.
     */
    default void onReleased() {}

    /**
     * Rejects the request. It had no effect at any endpoint, so the client may retry.
     *
     * @param retryAfterNs how long the client should wait before a retry; 0: no advice
     */
    void reject(long retryAfterNs);

    /** Answers with a failure. The request may have had an effect at an endpoint. */
    void fail();
}
