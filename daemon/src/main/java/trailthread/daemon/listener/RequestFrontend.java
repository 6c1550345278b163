package trailthread.daemon.listener;

import io.undertow.server.HttpServerExchange;
import trailthread.engine.metrics.RejectionReason;
import trailthread.engine.request.ClientRequest;
import trailthread.engine.request.ClientResponse;
import trailthread.engine.request.RequestHandler;

/** Makes calls of what clients send: reads heads, and says who takes the calls. */
public interface RequestFrontend {
    /** The path at which the front before the node asks whether it is ready. */
    String readyPath();

    /** Reads a request's head; its body is still to come. */
    Incoming read(HttpServerExchange exchange);

    /**
     * A request whose head was read.
     *
     * @param call but for its body, or null: it is none, and is answered as {@code why} says
     * @param taker who takes it
     * @param plain whether the endpoint's status and headers are passed on
     */
    record Incoming(ClientRequest call, Taker taker, boolean plain, RejectionReason why) {
        /** A request that is no call. */
        static Incoming none(RejectionReason why) {
            return new Incoming(null, null, false, why);
        }
    }

    /** Takes a call whose body is kept within bounds. */
    interface Taker {
        /** Whether a call with this id is at work; another one may not be taken beside it. */
        boolean isOpen(String id);

        /**
         * Whose crowd its clients are, where there are several that could be in each other's way;
         * else null.
         */
        default Object owner() {
            return null;
        }

        /**
         * Whether a body of so many bytes may be kept. If so, {@link #giveBody} or {@link #take}
         * follows, once.
         */
        default boolean takeBody(long bytes) {
            return true;
        }

        /** A body that was to be kept is not: its call did not come whole. */
        default void giveBody(long bytes) {}

        /**
         * The call has come whole.
         *
         * @param kept how many bytes were taken for its body; -1: there was no room, and the body
         *     was not kept
         * @return what to run if the client goes away before it is answered
         */
        Runnable take(ClientRequest call, long deadline, ClientResponse reply, long kept);

        /** One that keeps every body. */
        static Taker of(RequestHandler calls) {
            return new Taker() {
                @Override
                public boolean isOpen(String id) {
                    return calls.isOpen(id);
                }

                @Override
                public Runnable take(
                        ClientRequest call, long deadline, ClientResponse reply, long kept) {
                    return calls.take(call, deadline, reply);
                }
            };
        }
    }
}
