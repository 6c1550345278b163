package trailthread.daemon.listener;

import io.undertow.server.HttpServerExchange;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;

/** Decodes the heads of clients' requests, and selects the handler for each request. */
public interface RequestFrontend {
    /** The path of the readiness check. */
    String readyPath();

    /** Decodes a request's head, before its body is read. */
    DecodedHead decode(HttpServerExchange exchange);

    /**
     * The result of decoding a request's head.
     *
     * @param request without its body; null if it is rejected
     * @param handler serves the request; null if it is rejected
     * @param forwardsEndpointHeaders whether the client gets the endpoint's status and headers
     * @param rejection why the request is rejected; null if it is not
     */
    record DecodedHead(
            ClientRequest request,
            Handler handler,
            boolean forwardsEndpointHeaders,
            RejectionReason rejection) {
        static DecodedHead rejected(RejectionReason reason) {
            return new DecodedHead(null, null, false, reason);
        }
    }

    /** Serves requests, and limits the memory of their bodies. */
    interface Handler {
        /** Used instead of a number of bytes if memory for the body could not be reserved. */
        long NOT_RESERVED = -1;

        /**
         * Whether a request with this id is in flight, or must not run again; a second one must be
         * rejected.
         */
        boolean isInFlight(String id);

        /**
         * The service that owns the clients' connections, compared by identity; null if there is
         * only one service.
         */
        default Object owner() {
            return null;
        }

        /**
         * Reserves memory for a body. If this returns true, {@link #releaseBody} or {@link #handle}
         * follows, once.
         */
        default boolean reserveBody(long bytes) {
            return true;
        }

        /** Releases the memory reserved for the body of a request that is not handled. */
        default void releaseBody(long bytes) {}

        /**
         * Serves a request.
         *
         * @param deadline when the client stops waiting, in nanoseconds of the loop's clock
         * @param reservedBytes memory reserved for its body; {@link #NOT_RESERVED} if none could be
         *     reserved, and the body was discarded
         * @return the callback for a client that disconnects before the response
         */
        Runnable handle(
                ClientRequest request, long deadline, ClientResponse response, long reservedBytes);
    }
}
