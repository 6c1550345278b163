package trailthread.daemon.listener;

import io.undertow.server.HttpServerExchange;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;

/** Decodes the heads of clients' requests, and says which handler serves each of them. */
public interface RequestFrontend {
    /** The path of the readiness check. */
    String readyPath();

    /** Decodes a request's head; its body is still to come. */
    DecodedHead decode(HttpServerExchange exchange);

    /**
     * What the head of a request says.
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

    /** Serves requests, and bounds the memory that their bodies may take. */
    interface Handler {
        /** Stands for the bytes of a body that could not be reserved. */
        long NOT_RESERVED = -1;

        /** Whether a request with this id is in flight; a second one must not join it. */
        boolean isInFlight(String id);

        /**
         * Whose clients these are, where several services share the connections; null if there is
         * one service. Compared by identity.
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

        /** Releases what was reserved for the body of a request that is not handled. */
        default void releaseBody(long bytes) {}

        /**
         * Serves a request.
         *
         * @param deadline when the client stops waiting, by the loop's clock in nanoseconds
         * @param reservedBytes what was reserved for its body; {@link #NOT_RESERVED} if nothing
         *     could be, and the body was discarded
         * @return what to run if the client disconnects before it has its response
         */
        Runnable handle(
                ClientRequest request, long deadline, ClientResponse response, long reservedBytes);
    }
}
